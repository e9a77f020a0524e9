#include <kingcuprudder/runtime/log_line.hpp>

#include <nlohmann/json.hpp>

#include <cstdio>
#include <ctime>

namespace kingcuprudder
{

namespace
{

constexpr std::int64_t milliseconds_per_second = 1000;

/// The time in UTC as "2026-01-31T23:59:59.123Z".
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

std::string without_control_characters(std::string text)
{
    for (char& c : text)
    {
        if (static_cast<unsigned char>(c) < ' ')
        {
            c = ' ';
        }
    }
    return text;
}

std::string text_line(const log_line& line)
{
    std::string level(to_string(line.m_level));
    level.resize(to_string(log_level::warning).size(), ' ');
    std::string text = utc_text(line.m_time) + " " + level + " " +
                       line.m_component + ": " + line.m_message;
    if (!line.m_context.m_job.empty())
    {
        text += " job=" + line.m_context.m_job;
    }
    if (!line.m_context.m_request.empty())
    {
        text += " request=" + line.m_context.m_request;
    }
    if (line.m_context.m_epoch != 0)
    {
        text += " epoch=" + std::to_string(line.m_context.m_epoch);
    }
    return without_control_characters(std::move(text));
}

std::string json_line(const log_line& line)
{
    nlohmann::ordered_json json = {
        {"time", utc_text(line.m_time)},
        {"level", std::string(to_string(line.m_level))},
        {"component", line.m_component},
        {"message", line.m_message}};
    if (!line.m_context.m_job.empty())
    {
        json["job"] = line.m_context.m_job;
    }
    if (!line.m_context.m_request.empty())
    {
        json["request"] = line.m_context.m_request;
    }
    if (line.m_context.m_epoch != 0)
    {
        json["epoch"] = line.m_context.m_epoch;
    }
    // Ids and messages may hold bytes from callers that are not UTF-8.
    return json.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

std::string format_log_line(const log_line& line, log_layout layout)
{
    return layout == log_layout::json ? json_line(line) : text_line(line);
}

} // namespace kingcuprudder
