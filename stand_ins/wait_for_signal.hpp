#ifndef KINGCUPRUDDER_STAND_INS_WAIT_FOR_SIGNAL_HPP
#define KINGCUPRUDDER_STAND_INS_WAIT_FOR_SIGNAL_HPP

namespace kingcuprudder::stand_ins
{

/// Blocks SIGINT and SIGTERM for this thread and those it starts later. Call
/// it before starting any thread.
void block_termination_signals();

/// Waits for SIGINT or SIGTERM.
void wait_for_termination_signal();

} // namespace kingcuprudder::stand_ins

#endif
