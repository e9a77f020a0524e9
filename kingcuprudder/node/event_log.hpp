#ifndef KINGCUPRUDDER_NODE_EVENT_LOG_HPP
#define KINGCUPRUDDER_NODE_EVENT_LOG_HPP

#include <kingcuprudder/dispatch/decision_log.hpp>

#include <memory>
#include <string>

namespace kingcuprudder::node
{

/// Writes one JSON object a line to standard output: time, part, event, id and
/// the fields of a decision. Never blocks: lines wait in a bounded ring, and
/// those over the bound or over the rate are counted and reported in a line.
/// Safe to use from several threads.
class event_log
{
public:
    /// Names the process in each line.
    explicit event_log(std::string process);
    ~event_log();
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;

    void write(const std::string& part, const std::string& event,
               const std::string& id, const dispatch::decision_fields& fields);
    /// Waits a short while until the lines are written.
    void flush();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::node

#endif
