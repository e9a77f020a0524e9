#ifndef KINGCUPRUDDER_NODE_EVENT_HORIZON_HPP
#define KINGCUPRUDDER_NODE_EVENT_HORIZON_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>

namespace kingcuprudder::node
{

/// Tells up to which time all events of a queue have been applied, although the
/// queue may never be empty. Not thread-safe.
class event_horizon
{
public:
    /// Returns whether the events that waited at the last mark are applied.
    bool is_reached() const { return m_waiting == 0; }
    /// Marks a time, and how many events wait. They must be counted after the
    /// time was read. Called only if the last mark is reached.
    void mark(instant read_at, std::size_t waiting);
    void event_applied();
    /// Returns a time: all events that were queued before it are applied.
    instant applied_until() const { return m_applied_until; }

private:
    instant m_marked_at;
    instant m_applied_until;
    std::size_t m_waiting = 0;
};

} // namespace kingcuprudder::node

#endif
