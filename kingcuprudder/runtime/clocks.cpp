#include <kingcuprudder/runtime/clocks.hpp>

#include <ctime>

namespace kingcuprudder
{

namespace
{

instant read_clock(clockid_t clock)
{
    constexpr std::int64_t millis_per_second = 1000;
    constexpr std::int64_t nanos_per_milli = 1'000'000;
    timespec time{};
    clock_gettime(clock, &time);
    return instant(time.tv_sec * millis_per_second +
                   time.tv_nsec / nanos_per_milli);
}

} // namespace

instant boottime_now()
{
    return read_clock(CLOCK_BOOTTIME);
}

instant wall_now()
{
    return read_clock(CLOCK_REALTIME);
}

} // namespace kingcuprudder
