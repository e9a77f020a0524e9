#ifndef KINGCUPRUDDER_DISPATCH_DRAIN_MOVE_HPP
#define KINGCUPRUDDER_DISPATCH_DRAIN_MOVE_HPP

#include <kingcuprudder/base/time.hpp>

#include <optional>

namespace kingcuprudder::dispatch
{

/// What is known about a run on a worker that drains.
struct draining_run
{
    /// The predicted duration of the whole task.
    span m_predicted;
    /// How long the run has been at work; empty if its start is not known or it
    /// resumed from a checkpoint.
    std::optional<span> m_at_work;
    int m_percent = 0; ///< The part of the task's work that is done.
    /// Whether a run that is stopped leaves a checkpoint.
    bool m_writes_checkpoints = false;
    bool m_persistent = false;
    /// The time for which the worker certainly goes on.
    span m_drain_left;

    friend bool operator==(const draining_run&, const draining_run&) = default;
};

/// Returns how long the run is expected to need until its end.
span remaining_time(const draining_run& run);

/// Returns whether the run is unlikely to end before its worker exits, so that
/// it is stopped and started on another worker. A worker usually exits some
/// time after the earliest one, which is worth waiting for if a stop loses the
/// work that is done.
bool should_move(const draining_run& run);

} // namespace kingcuprudder::dispatch

#endif
