#ifndef KINGCUPRUDDER_RUNTIME_STEADY_TIME_HPP
#define KINGCUPRUDDER_RUNTIME_STEADY_TIME_HPP

#include <chrono>
#include <cstdint>

namespace kingcuprudder
{

/// Milliseconds of a clock that never jumps, for timeouts.
inline std::int64_t steady_milliseconds()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
        .count();
}

} // namespace kingcuprudder

#endif
