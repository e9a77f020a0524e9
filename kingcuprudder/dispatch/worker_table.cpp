#include <kingcuprudder/dispatch/worker_table.hpp>

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

} // namespace kingcuprudder::dispatch
