#include <kingcuprudder/runtime/utc_text.hpp>

#include <cstdio>
#include <ctime>

namespace kingcuprudder
{

namespace
{

constexpr std::int64_t milliseconds_per_second = 1000;

} // namespace

std::string utc_text(instant time)
{
    const std::time_t seconds = time.count() / milliseconds_per_second;
    const int milliseconds =
        static_cast<int>(time.count() % milliseconds_per_second);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    std::snprintf(text, sizeof text, "%s.%03dZ", date, milliseconds);
    return text;
}

} // namespace kingcuprudder
