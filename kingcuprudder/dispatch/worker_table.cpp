#include <kingcuprudder/dispatch/worker_table.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

/// Returns whether both may be the same process; 0 is unknown.
bool may_be_same(std::int64_t process, std::int64_t other)
{
    return process == 0 || other == 0 || process == other;
}

} // namespace

bool worker_entry::is_described() const
{
    return m_described_process &&
           may_be_same(*m_described_process, m_incarnation);
}

void worker_entry::use_entry()
{
    worker_description used = m_entry;
    if (is_described() && !may_be_same(m_entry.m_incarnation, m_incarnation))
    {
        used.m_pool = m_description.m_pool;
        used.m_zone = m_description.m_zone;
        used.m_rack = m_description.m_rack;
        used.m_labels = m_description.m_labels;
        used.m_capacity = m_description.m_capacity;
    }
    else
    {
        m_described_process = m_entry.m_incarnation;
    }
    m_description = used;
}

void worker_entry::note_clock(std::int64_t clock, instant requested)
{
    if (clock != 0)
    {
        const span lead = requested - instant(clock);
        m_clock_lead = std::max(m_clock_lead.value_or(lead), lead);
    }
}

std::optional<instant> worker_entry::entry_written_after() const
{
    if (m_entry.m_clock == 0 || !m_clock_lead)
    {
        return std::nullopt;
    }
    return std::min(m_entry_read_at, instant(m_entry.m_clock) + *m_clock_lead);
}

bool worker_entry::leaves_by(instant removed, span expiry) const
{
    const std::optional<instant> written = entry_written_after();
    const bool of_this_process = m_incarnation != 0 &&
                                 m_entry.m_incarnation == m_incarnation &&
                                 m_entry.m_address == m_answered_address;
    return written && of_this_process && m_entry.m_draining &&
           removed - *written >= m_entry.m_drain_remaining &&
           removed - *written < expiry;
}

} // namespace kingcuprudder::dispatch
