#ifndef KINGCUPRUDDER_RUNTIME_STEADY_TIME_HPP
#define KINGCUPRUDDER_RUNTIME_STEADY_TIME_HPP

#include <chrono>
#include <cstdint>

namespace kingcuprudder
{

/// Returns the time of the monotonic clock in milliseconds, for timeouts.
inline std::int64_t steady_milliseconds()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
        .count();
}

} // namespace kingcuprudder

#endif
