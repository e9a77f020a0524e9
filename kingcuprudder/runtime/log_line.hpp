#ifndef KINGCUPRUDDER_RUNTIME_LOG_LINE_HPP
#define KINGCUPRUDDER_RUNTIME_LOG_LINE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/logging.hpp>

#include <string>

namespace kingcuprudder
{

/// One log line before it is formatted.
struct log_line
{
    instant m_time;
    log_level m_level = log_level::info;
    std::string m_component;
    std::string m_message;
    log_context m_context;

    friend auto operator<=>(const log_line&, const log_line&) = default;
};

/// Formats the line in a layout, without a line end. Control characters are
/// replaced or escaped, so that one message cannot look like several lines.
std::string format_log_line(const log_line& line, log_layout layout);

} // namespace kingcuprudder

#endif
