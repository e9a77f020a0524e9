#include <kingcuprudder/runtime/log_line.hpp>
#include <kingcuprudder/runtime/logging.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr log_level all_levels[] = {log_level::debug, log_level::info,
                                    log_level::warning, log_level::error};
constexpr log_layout all_layouts[] = {log_layout::text, log_layout::json};

log4cplus::LogLevel library_level(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warning:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

/// Passes the formatted line through unchanged.
class line_layout : public log4cplus::Layout
{
public:
    void
    formatAndAppend(log4cplus::tostream& output,
                    const log4cplus::spi::InternalLoggingEvent& event) override
    {
        output << event.getMessage() << '\n';
    }
};

/// Holds the layout in use, and the library's state until the process exits.
class logging_state
{
public:
    static logging_state& get()
    {
        static logging_state state;
        return state;
    }

    void configure(const logging_options& options)
    {
        m_layout = options.m_layout;
        m_root.setLogLevel(library_level(options.m_level));
    }

    log_layout layout() const { return m_layout; }

private:
    logging_state() : m_root(log4cplus::Logger::getRoot())
    {
        constexpr bool to_standard_error = true;
        constexpr bool flush_each_line = true;
        log4cplus::SharedAppenderPtr appender(
            new log4cplus::ConsoleAppender(to_standard_error, flush_each_line));
        appender->setLayout(std::make_unique<line_layout>());
        m_root.addAppender(appender);
        m_root.setLogLevel(library_level(log_level::info));
    }

    log4cplus::Initializer m_initializer;
    log4cplus::Logger m_root;
    log_layout m_layout = log_layout::text;
};

} // namespace

std::string_view to_string(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::string_view to_string(log_layout layout)
{
    return layout == log_layout::json ? "json" : "text";
}

std::optional<log_level> log_level_from_string(std::string_view name)
{
    for (log_level level : all_levels)
    {
        if (to_string(level) == name)
        {
            return level;
        }
    }
    return std::nullopt;
}

std::optional<log_layout> log_layout_from_string(std::string_view name)
{
    for (log_layout layout : all_layouts)
    {
        if (to_string(layout) == name)
        {
            return layout;
        }
    }
    return std::nullopt;
}

void configure_logging(const logging_options& options)
{
    logging_state::get().configure(options);
}

class logger::implementation
{
public:
    explicit implementation(std::string component)
        : m_component(std::move(component)), m_state(logging_state::get()),
          m_logger(log4cplus::Logger::getInstance(m_component))
    {
    }

    void write(log_level level, const std::string& message,
               const log_context& context) const
    {
        if (!m_logger.isEnabledFor(library_level(level)))
        {
            return;
        }
        const log_line line{system_now(), level, m_component, message, context};
        m_logger.forcedLog(library_level(level),
                           format_log_line(line, m_state.layout()));
    }

private:
    std::string m_component;
    const logging_state& m_state;
    log4cplus::Logger m_logger;
};

logger::logger(std::string component)
    : m_implementation(
          std::make_shared<const implementation>(std::move(component)))
{
}

void logger::debug(const std::string& message, const log_context& context) const
{
    m_implementation->write(log_level::debug, message, context);
}

void logger::info(const std::string& message, const log_context& context) const
{
    m_implementation->write(log_level::info, message, context);
}

void logger::warning(const std::string& message,
                     const log_context& context) const
{
    m_implementation->write(log_level::warning, message, context);
}

void logger::error(const std::string& message, const log_context& context) const
{
    m_implementation->write(log_level::error, message, context);
}

} // namespace kingcuprudder
