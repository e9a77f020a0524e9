#ifndef UNIT_TESTS_DISPATCH_RECORDED_LOG_HPP
#define UNIT_TESTS_DISPATCH_RECORDED_LOG_HPP

#include <kingcuprudder/dispatch/decision_log.hpp>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A line of the decision log.
struct log_line
{
    std::string m_event;
    std::string m_id;
    decision_fields m_fields;

    /// Returns the value of the field; empty if the line has no such field.
    std::string field(const std::string& name) const
    {
        const auto found =
            std::find_if(m_fields.begin(), m_fields.end(),
                         [&](const auto& each) { return each.first == name; });
        return found == m_fields.end() ? "" : found->second;
    }
};

/// The lines of the decision log, in order.
class recorded_log
{
public:
    /// Returns a log that adds its lines here.
    decision_log recorder()
    {
        return [this](const std::string& event, const std::string& id,
                      const decision_fields& fields) {
            m_lines.push_back({event, id, fields});
        };
    }

    /// Returns the lines of this event.
    std::vector<log_line> lines(const std::string& event) const
    {
        std::vector<log_line> found;
        std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(found),
                     [&](const log_line& each)
                     { return each.m_event == event; });
        return found;
    }

private:
    std::vector<log_line> m_lines;
};

} // namespace kingcuprudder::dispatch

#endif
