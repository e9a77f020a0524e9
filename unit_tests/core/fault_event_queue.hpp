#ifndef KINGCUPRUDDER_UNIT_TESTS_FAULT_EVENT_QUEUE_HPP
#define KINGCUPRUDDER_UNIT_TESTS_FAULT_EVENT_QUEUE_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace kingcuprudder
{

/// Event queue in virtual time. Events run in the order of their time, then of
/// their insertion.
class fault_event_queue
{
public:
    instant now() const { return m_now; }

    void after(span delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, ++m_entries),
                         std::move(event));
    }

    /// Runs the next event. Returns false when there is none.
    bool run_one()
    {
        if (m_events.empty())
        {
            return false;
        }
        auto node = m_events.extract(m_events.begin());
        m_now = node.key().first;
        node.mapped()();
        return true;
    }

private:
    /// Not zero, since a zero instant stands for "none" in many places.
    instant m_now{1'000'000};
    std::uint64_t m_entries = 0;
    std::map<std::pair<instant, std::uint64_t>, std::function<void()>> m_events;
};

} // namespace kingcuprudder

#endif
