#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/node/event_horizon.hpp>

namespace kingcuprudder::node
{

void event_horizon::mark(instant read_at, std::size_t waiting)
{
    KCR_ASSERT(is_reached());
    m_marked_at = read_at;
    m_waiting = waiting;
    if (is_reached())
    {
        m_applied_until = m_marked_at;
    }
}

void event_horizon::event_applied()
{
    if (is_reached())
    {
        return; // It was queued after the mark.
    }
    --m_waiting;
    if (is_reached())
    {
        m_applied_until = m_marked_at;
    }
}

} // namespace kingcuprudder::node
