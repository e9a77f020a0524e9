#include <kingcuprudder/node/record_removals.hpp>

#include <algorithm>

namespace kingcuprudder::node
{

namespace
{

// Each removal takes two entries of a transaction, and one checks the leader
// record.
constexpr std::size_t entries_per_removal = 2;
constexpr std::size_t max_group =
    (max_transaction_entries - 1) / entries_per_removal;
// A backlog is removed at 150 records per second, which leaves the writer to
// the progress of jobs.
constexpr span group_interval = span(100);
// How long records wait for others to fill a group.
constexpr span partial_group_interval = span(1000);
constexpr span retry_pause = span(1000);
constexpr span needed_pause = span(5000);
// A record whose removal the store refuses is tried again after this time.
constexpr span refused_pause = span::seconds(60);

} // namespace

record_removals::record_removals(needed_hook is_needed)
    : m_is_needed(std::move(is_needed)), m_max_group(max_group)
{
}

void record_removals::schedule(const record_removal& removal, instant due)
{
    const auto [found, added] =
        m_records.try_emplace(removal.m_key, entry{removal.m_revision, due});
    if (!added && found->second.m_revision < removal.m_revision)
    {
        m_by_due.erase({found->second.m_due, removal.m_key});
        found->second = {removal.m_revision, due};
    }
    m_by_due.emplace(found->second.m_due, removal.m_key);
}

void record_removals::drop(const record_removal& removal)
{
    const auto found = m_records.find(removal.m_key);
    if (found != m_records.end() &&
        found->second.m_revision <= removal.m_revision)
    {
        erase(found);
    }
}

std::vector<record_removal> record_removals::take(instant now)
{
    if (!m_in_flight.empty() || now < m_next_at)
    {
        return {};
    }
    postpone_needed(now);
    std::vector<record_removal> group;
    for (auto each = m_by_due.begin();
         each != m_by_due.end() && each->first <= now &&
         group.size() < m_max_group;
         ++each)
    {
        group.push_back({each->second, m_records.at(each->second).m_revision});
    }
    if (group.empty() ||
        (group.size() < m_max_group && now < m_next_partial_at))
    {
        return {};
    }
    m_in_flight = group;
    m_next_at = now + group_interval;
    m_next_partial_at = now + partial_group_interval;
    return group;
}

void record_removals::postpone_needed(instant now)
{
    std::vector<std::string> needed;
    for (auto each = m_by_due.begin();
         each != m_by_due.end() && each->first <= now; ++each)
    {
        if (m_is_needed(each->second))
        {
            needed.push_back(each->second);
        }
    }
    for (const std::string& key : needed)
    {
        postpone(key, now + needed_pause);
    }
}

void record_removals::postpone(const std::string& key, instant until)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
    {
        return;
    }
    m_by_due.erase({found->second.m_due, key});
    found->second.m_due = until;
    m_by_due.emplace(until, key);
}

void record_removals::failed(instant now)
{
    m_in_flight.clear();
    m_next_at = now + retry_pause;
    m_next_partial_at = m_next_at;
}

void record_removals::refused(instant now)
{
    if (m_in_flight.size() == 1)
    {
        postpone(m_in_flight.front().m_key, now + refused_pause);
        m_max_group = max_group;
    }
    else
    {
        m_max_group = std::max<std::size_t>(1, m_in_flight.size() / 2);
    }
    m_in_flight.clear();
    m_next_partial_at = m_next_at;
}

void record_removals::removed()
{
    for (const record_removal& each : m_in_flight)
    {
        drop(each);
    }
    m_in_flight.clear();
    m_max_group = std::min(max_group, m_max_group * 2);
}

bool record_removals::conflicted(const store_conflict& conflict)
{
    const std::vector<record>& found = conflict.m_records;
    std::vector<record_removal> changed;
    for (const record_removal& each : m_in_flight)
    {
        const bool unchanged =
            std::any_of(found.begin(), found.end(),
                        [&each](const record& current)
                        {
                            return current.m_key == each.m_key &&
                                   current.m_revision == each.m_revision;
                        });
        if (!unchanged)
        {
            changed.push_back(each);
        }
    }
    if (changed.empty())
    {
        return false;
    }
    for (const record_removal& each : changed)
    {
        drop(each);
    }
    m_in_flight.clear();
    m_next_partial_at = m_next_at;
    return true;
}

void record_removals::erase(scheduled_records::iterator found)
{
    m_by_due.erase({found->second.m_due, found->first});
    m_records.erase(found);
}

} // namespace kingcuprudder::node
