#ifndef KINGCUPRUDDER_NODE_CLOCKS_HPP
#define KINGCUPRUDDER_NODE_CLOCKS_HPP

#include <kingcuprudder/base/time.hpp>

namespace kingcuprudder::node
{

/// Time since the machine started. Goes on while the machine is suspended, so
/// that a process that was suspended notices that its leases have run out.
instant boottime_now();

/// The time of day. May step.
instant wall_now();

} // namespace kingcuprudder::node

#endif
