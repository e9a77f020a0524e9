#include <kingcuprudder/node/record_batches.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder::node
{

namespace
{

// The pause doubles with each failure.
constexpr span first_pause = span(500);
constexpr span max_pause = span(10'000);
constexpr int max_doublings = 5;
// A record with so many conflicts in a row is written alone.
constexpr int repeated_conflicts = 2;

span pause_after(int failures)
{
    return std::min(first_pause * (1 << std::min(failures - 1, max_doublings)),
                    max_pause);
}

} // namespace

void record_batches::begin(instant now)
{
    m_batch.clear();
    m_max_batch = no_limit;
    m_began_at = now;
}

bool record_batches::add(const std::string& job, bool ended)
{
    const auto found = m_suspected.find(job);
    const bool suspected = found != m_suspected.end();
    if (suspected && m_began_at < found->second.m_due &&
        ended == found->second.m_ended)
    {
        return false;
    }
    const std::size_t max_batch =
        suspected ? found->second.m_max_batch : no_limit;
    if (m_batch.empty())
    {
        m_max_batch = max_batch;
    }
    // Records of other batches would come under suspicion.
    if (max_batch != m_max_batch || m_batch.size() == m_max_batch)
    {
        return false;
    }
    m_batch.push_back({job, ended});
    return true;
}

void record_batches::remove(const std::string& job)
{
    std::erase_if(m_batch, [&job](const batch_entry& each)
                  { return each.m_job == job; });
}

set_aside_record record_batches::refuse(const std::string& job, instant now)
{
    const auto found = std::find_if(m_batch.begin(), m_batch.end(),
                                    [&job](const batch_entry& each)
                                    { return each.m_job == job; });
    const batch_entry entry =
        found == m_batch.end() ? batch_entry{job, false} : *found;
    remove(job);
    return set_aside(entry, now);
}

void record_batches::stored()
{
    for (const batch_entry& each : m_batch)
    {
        m_suspected.erase(each.m_job);
    }
    m_batch.clear();
}

void record_batches::failed()
{
    m_batch.clear();
}

std::vector<set_aside_record> record_batches::refused(instant now)
{
    const std::vector<batch_entry> batch = std::exchange(m_batch, {});
    if (batch.size() == 1)
    {
        return {set_aside(batch.front(), now)};
    }
    for (const batch_entry& each : batch)
    {
        suspect(each.m_job).m_max_batch = (batch.size() + 1) / 2;
    }
    return {};
}

std::vector<set_aside_record>
record_batches::conflicted(const std::vector<std::string>& outdated,
                           instant now)
{
    if (outdated.empty())
    {
        return refused(now);
    }
    const std::vector<batch_entry> batch = std::exchange(m_batch, {});
    std::vector<set_aside_record> aside;
    for (const batch_entry& each : batch)
    {
        if (std::find(outdated.begin(), outdated.end(), each.m_job) ==
            outdated.end())
        {
            continue;
        }
        suspicion& found = suspect(each.m_job);
        if (++found.m_conflicts < repeated_conflicts)
        {
            continue;
        }
        if (batch.size() == 1)
        {
            aside.push_back(set_aside(each, now));
        }
        found.m_max_batch = 1;
    }
    return aside;
}

record_batches::suspicion& record_batches::suspect(const std::string& job)
{
    return m_suspected[job];
}

set_aside_record record_batches::set_aside(const batch_entry& entry,
                                           instant now)
{
    suspicion& found = suspect(entry.m_job);
    found.m_max_batch = 1;
    ++found.m_failures;
    const span pause = pause_after(found.m_failures);
    found.m_due = now + pause;
    found.m_ended = entry.m_ended;
    return {entry.m_job, found.m_failures, pause};
}

} // namespace kingcuprudder::node
