#ifndef KINGCUPRUDDER_NODE_EVENT_LOG_HPP
#define KINGCUPRUDDER_NODE_EVENT_LOG_HPP

#include <kingcuprudder/dispatch/decision_log.hpp>

#include <memory>
#include <string>

namespace kingcuprudder::node
{

/// Writes events to standard output as one JSON object per line: time, process,
/// part, event, id and the fields of a decision. Long values are cut, so that
/// no caller determines the length of a line. Never blocks: a thread writes
/// the lines from a bounded queue, and lines over its capacity or over the rate
/// limit are dropped and counted in a line of their own. Safe to use from
/// several threads.
class event_log
{
public:
    /// Creates a log that writes the process name into each line.
    explicit event_log(std::string process);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(const std::string& part, const std::string& event,
               const std::string& id, const dispatch::decision_fields& fields);
    /// Closes the log and waits up to 250 ms until the queued lines are
    /// written.
    void flush();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::node

#endif
