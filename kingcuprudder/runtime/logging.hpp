#ifndef KINGCUPRUDDER_RUNTIME_LOGGING_HPP
#define KINGCUPRUDDER_RUNTIME_LOGGING_HPP

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder
{

enum class log_level
{
    debug,
    info,
    warning,
    error,
};

enum class log_layout
{
    text, ///< One human-readable line.
    json, ///< One JSON object per line for log collectors.
};

std::string_view to_string(log_level level);
std::string_view to_string(log_layout layout);
std::optional<log_level> log_level_from_string(std::string_view name);
std::optional<log_layout> log_layout_from_string(std::string_view name);

/// The minimum level of the log lines and their layout.
struct logging_options
{
    log_level m_level = log_level::info;
    log_layout m_layout = log_layout::text;

    friend auto operator<=>(const logging_options&,
                            const logging_options&) = default;
};

/// Writes the log lines of the process to standard error with these options.
/// Must be called once at start, before other threads log.
void configure_logging(const logging_options& options);

/// The job, request and epoch that a line refers to; empty and zero members are
/// left out of the line.
struct log_context
{
    std::string m_job; ///< As "account/job".
    std::string m_request;
    std::uint64_t m_epoch = 0;

    friend auto operator<=>(const log_context&, const log_context&) = default;
};

/// Writes the log lines of one component, each with the component's prefix.
/// Thread-safe. Copies are cheap.
class logger
{
public:
    explicit logger(std::string component);

    void debug(const std::string& message,
               const log_context& context = {}) const;
    void info(const std::string& message,
              const log_context& context = {}) const;
    void warning(const std::string& message,
                 const log_context& context = {}) const;
    void error(const std::string& message,
               const log_context& context = {}) const;

private:
    class implementation;
    std::shared_ptr<const implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
