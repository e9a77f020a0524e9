#include <kingcuprudder/placement/running_table.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace kingcuprudder
{

namespace
{

bool is_same_attempt(const running_entry& entry, const running_job& job)
{
    return entry.m_placed_at == job.m_placed_at &&
           entry.m_key == job.m_spec.m_key;
}

running_entry make_entry(const cluster& region, const running_job& job)
{
    running_entry entry;
    entry.m_key = job.m_spec.m_key;
    entry.m_class = job.m_spec.m_class;
    entry.m_shape = job.m_spec.m_shape;
    entry.m_placement = to_indexed(region, job.m_placement);
    entry.m_placed_at = job.m_placed_at;
    entry.m_declared_run_time = job.m_spec.m_declared_run_time;
    entry.m_can_be_preempted = can_be_preempted(job.m_spec);
    return entry;
}

/// Finds the entries of the last pass for the jobs of this pass. Searches
/// forward from the last match, as both lists mostly differ by a few jobs that
/// ended or started.
class entry_finder
{
public:
    explicit entry_finder(const std::vector<running_entry>& entries)
        : m_entries(entries)
    {
        for (const running_entry& each : entries)
        {
            m_latest_placed_at = std::max(m_latest_placed_at, each.m_placed_at);
        }
    }

    /// The position of the job's entry, or no_entry.
    std::size_t find(const running_job& job)
    {
        if (job.m_placed_at > m_latest_placed_at)
        {
            return no_entry;
        }
        std::size_t last = std::min(m_entries.size(), m_next + look_ahead);
        for (std::size_t i = m_next; i < last; ++i)
        {
            if (is_same_attempt(m_entries[i], job))
            {
                m_next = i + 1;
                return i;
            }
        }
        return find_anywhere(job);
    }

    static constexpr std::size_t no_entry = static_cast<std::size_t>(-1);

private:
    /// Number of entries compared before the index is used. Jobs that end
    /// between two passes leave gaps of a few entries.
    static constexpr std::size_t look_ahead = 8;

    std::size_t find_anywhere(const running_job& job)
    {
        if (m_index.empty())
        {
            for (std::size_t i = 0; i < m_entries.size(); ++i)
            {
                m_index.emplace(m_entries[i].m_key, i);
            }
        }
        auto found = m_index.find(job.m_spec.m_key);
        if (found == m_index.end() ||
            !is_same_attempt(m_entries[found->second], job))
        {
            return no_entry;
        }
        m_next = found->second + 1;
        return found->second;
    }

    const std::vector<running_entry>& m_entries;
    instant m_latest_placed_at;
    std::size_t m_next = 0;
    std::map<job_key, std::size_t> m_index;
};

} // namespace

bool can_be_preempted(const job_spec& spec)
{
    return spec.m_preemptible && spec.m_idempotent;
}

double running_entry::lost_work(instant now) const
{
    double unsaved = static_cast<double>((now - m_placed_at).count());
    double size =
        m_shape.accelerators() > 0 ? m_shape.accelerators() : m_shape.m_tasks;
    return std::max(0.0, unsaved) * size;
}

std::vector<running_entry>
running_table::synchronize(const cluster& region,
                           const std::vector<running_job>& running)
{
    std::vector<std::size_t> sources;
    sources.reserve(running.size());
    entry_finder finder(m_entries);
    for (const running_job& each : running)
    {
        sources.push_back(finder.find(each));
    }
    std::vector<bool> found(m_entries.size(), false);
    std::vector<running_entry> entries;
    entries.reserve(running.size());
    for (std::size_t i = 0; i < running.size(); ++i)
    {
        if (sources[i] == entry_finder::no_entry)
        {
            entries.push_back(make_entry(region, running[i]));
        }
        else
        {
            found[sources[i]] = true;
            entries.push_back(std::move(m_entries[sources[i]]));
        }
        entries.back().m_stopping = running[i].m_stopping;
        entries.back().m_saved_run_time = running[i].m_saved_run_time;
    }
    std::vector<running_entry> ended;
    for (std::size_t i = 0; i < m_entries.size(); ++i)
    {
        if (!found[i])
        {
            ended.push_back(std::move(m_entries[i]));
        }
    }
    m_entries = std::move(entries);
    return ended;
}

} // namespace kingcuprudder
