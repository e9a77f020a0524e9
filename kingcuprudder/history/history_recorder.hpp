#ifndef KINGCUPRUDDER_HISTORY_HISTORY_RECORDER_HPP
#define KINGCUPRUDDER_HISTORY_HISTORY_RECORDER_HPP

#include <kingcuprudder/history/history_event.hpp>

#include <utility>
#include <vector>

namespace kingcuprudder
{

/// Collects the observations of a run in the order of their recording. Not
/// safe for several threads: a recorder shared by threads needs a lock.
class history_recorder
{
public:
    /// A number for the next invocation.
    history_call_id next_call() { return ++m_last_call; }

    void record(history_event event) { m_events.push_back(std::move(event)); }

    const std::vector<history_event>& events() const { return m_events; }

private:
    std::vector<history_event> m_events;
    history_call_id m_last_call = 0;
};

} // namespace kingcuprudder

#endif
