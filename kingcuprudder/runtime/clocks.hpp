#ifndef KINGCUPRUDDER_RUNTIME_CLOCKS_HPP
#define KINGCUPRUDDER_RUNTIME_CLOCKS_HPP

#include <kingcuprudder/base/time.hpp>

namespace kingcuprudder
{

/// Returns the time since the machine booted. The clock also advances while the
/// machine is suspended, so that leases expire in the meantime.
instant boottime_now();

/// Returns the time of day. The clock jumps when it is adjusted.
instant wall_now();

} // namespace kingcuprudder

#endif
