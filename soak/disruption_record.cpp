#include <kingcuprudder/node/clocks.hpp>

#include <soak/disruption_record.hpp>

namespace kingcuprudder::soak
{

void disruption_record::begin()
{
    std::lock_guard lock(m_mutex);
    ++m_in_progress;
    m_any = true;
}

void disruption_record::end()
{
    std::lock_guard lock(m_mutex);
    --m_in_progress;
    m_last_end = node::boottime_now();
}

bool disruption_record::is_calm_since(instant at) const
{
    return is_free_since(at - m_contact_time);
}

bool disruption_record::is_free_since(instant at) const
{
    std::lock_guard lock(m_mutex);
    return !m_any || (m_in_progress == 0 && m_last_end < at);
}

} // namespace kingcuprudder::soak
