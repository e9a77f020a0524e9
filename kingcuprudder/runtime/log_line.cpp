#include <kingcuprudder/runtime/log_line.hpp>
#include <kingcuprudder/runtime/utc_text.hpp>

#include <nlohmann/json.hpp>

namespace kingcuprudder
{

namespace
{

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
    // Ids and messages may contain bytes from callers that are not UTF-8.
    return json.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace

std::string format_log_line(const log_line& line, log_layout layout)
{
    return layout == log_layout::json ? json_line(line) : text_line(line);
}

} // namespace kingcuprudder
