#ifndef KINGCUPRUDDER_HISTORY_HISTORY_RECORDER_HPP
#define KINGCUPRUDDER_HISTORY_HISTORY_RECORDER_HPP

#include <kingcuprudder/history/history_event.hpp>

#include <utility>
#include <vector>

namespace kingcuprudder
{

/// Collects the events of a history in the order in which they are recorded.
/// Not thread-safe: a recorder shared by threads needs a lock.
class history_recorder
{
public:
    /// Returns the number of the next call.
    history_call_id next_call() { return ++m_last_call; }

    void record(history_event event) { m_events.push_back(std::move(event)); }

    const std::vector<history_event>& events() const { return m_events; }

private:
    std::vector<history_event> m_events;
    history_call_id m_last_call = 0;
};

} // namespace kingcuprudder

#endif
