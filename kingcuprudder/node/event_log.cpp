#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/runtime/bounded_ring.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace kingcuprudder::node
{

namespace
{

constexpr std::size_t max_queued_lines = 2000;
constexpr span drain_interval = span(200);
constexpr span report_interval = span(1000);
// Lines of one part over this rate are dropped, so that a burst of events can
// neither fill the collector's disk nor hide the lines of other parts.
constexpr std::int64_t max_lines_per_second = 1200;
constexpr std::int64_t max_burst_lines = 3000;
constexpr std::int64_t millis_per_second = 1000;
// Longer values, which callers and other programs may send, are cut.
constexpr std::size_t max_value_bytes = 400;
constexpr int flush_tries = 50;
constexpr std::chrono::milliseconds flush_poll(5);

/// Returns the value, or its first bytes and its length if it is too long.
std::string bounded(const std::string& value)
{
    if (value.size() <= max_value_bytes)
    {
        return value;
    }
    return value.substr(0, max_value_bytes) + "... (" +
           std::to_string(value.size()) + " bytes)";
}

/// The lines that one part may write now.
class line_allowance
{
public:
    /// Returns whether one more line may be written.
    bool take_token(instant now)
    {
        const std::int64_t elapsed =
            (now - m_refilled_at.value_or(now)).count();
        m_tokens = std::min(max_burst_lines * millis_per_second,
                            m_tokens + elapsed * max_lines_per_second);
        m_refilled_at = now;
        if (m_tokens < millis_per_second)
        {
            return false;
        }
        m_tokens -= millis_per_second;
        return true;
    }

private:
    /// In thousandths of a line.
    std::int64_t m_tokens = max_burst_lines * millis_per_second;
    std::optional<instant> m_refilled_at;
};

log4cplus::Logger open_stdout_logger()
{
    log4cplus::Logger logger =
        log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("events"));
    log4cplus::helpers::SharedObjectPtr<log4cplus::Appender> appender(
        new log4cplus::ConsoleAppender(false, true));
    appender->setLayout(
        std::make_unique<log4cplus::PatternLayout>(LOG4CPLUS_TEXT("%m%n")));
    logger.removeAllAppenders();
    logger.addAppender(appender);
    logger.setAdditivity(false);
    logger.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    return logger;
}

} // namespace

class event_log::implementation
{
public:
    explicit implementation(std::string process)
        : m_process(std::move(process)), m_logger(open_stdout_logger()),
          m_lines(max_queued_lines), m_thread([this] { run(); })
    {
    }

    ~implementation()
    {
        m_lines.close();
        m_thread.join();
    }

    void write(const std::string& part, const std::string& event,
               const std::string& id, const dispatch::decision_fields& fields)
    {
        if (!take_token(part))
        {
            ++m_dropped;
            return;
        }
        std::string line = format(part, event, id, fields);
        if (!m_lines.try_push(std::move(line)))
        {
            ++m_dropped;
        }
    }

    void flush()
    {
        m_lines.close();
        for (int tries = 0; tries < flush_tries && !m_finished; ++tries)
        {
            std::this_thread::sleep_for(flush_poll);
        }
    }

private:
    std::string format(const std::string& part, const std::string& event,
                       const std::string& id,
                       const dispatch::decision_fields& fields) const
    {
        nlohmann::ordered_json line;
        line["time_ms"] = wall_now().count();
        line["process"] = m_process;
        line["part"] = part;
        line["event"] = event;
        if (!id.empty())
        {
            line["id"] = bounded(id);
        }
        for (const auto& [name, value] : fields)
        {
            line[name] = bounded(value);
        }
        return line.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace);
    }

    bool take_token(const std::string& part)
    {
        std::lock_guard lock(m_mutex);
        return m_allowances[part].take_token(boottime_now());
    }

    void run()
    {
        while (true)
        {
            std::optional<std::string> line =
                m_lines.pop(std::chrono::milliseconds(drain_interval.count()));
            if (line)
            {
                LOG4CPLUS_INFO(m_logger, *line);
            }
            else if (m_lines.closed())
            {
                m_finished = true;
                return;
            }
            report_dropped();
        }
    }

    void report_dropped()
    {
        if (boottime_now() - m_reported_at < report_interval)
        {
            return;
        }
        m_reported_at = boottime_now();
        const std::uint64_t dropped = m_dropped.exchange(0);
        if (dropped > 0)
        {
            LOG4CPLUS_INFO(m_logger,
                           format("log", "lines_dropped", "",
                                  {{"count", std::to_string(dropped)}}));
        }
    }

    std::string m_process;
    log4cplus::Logger m_logger;
    bounded_ring<std::string> m_lines;
    std::mutex m_mutex;
    std::map<std::string, line_allowance> m_allowances;
    std::atomic<std::uint64_t> m_dropped = 0;
    std::atomic<bool> m_finished = false;
    instant m_reported_at;
    std::thread m_thread;
};

event_log::event_log(std::string process)
    : m_implementation(std::make_unique<implementation>(std::move(process)))
{
}

event_log::~event_log() = default;

void event_log::flush()
{
    m_implementation->flush();
}

void event_log::write(const std::string& part, const std::string& event,
                      const std::string& id,
                      const dispatch::decision_fields& fields)
{
    m_implementation->write(part, event, id, fields);
}

} // namespace kingcuprudder::node
