#include <kingcuprudder/placement/running_table.hpp>

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace kingcuprudder
{

namespace
{

struct job_key_hash
{
    std::size_t operator()(const job_key* key) const
    {
        std::size_t account = std::hash<account_id>()(key->m_account);
        return account * 31 + std::hash<job_id>()(key->m_job);
    }
};

struct job_key_equal
{
    bool operator()(const job_key* left, const job_key* right) const
    {
        return *left == *right;
    }
};

using entry_index = std::unordered_map<const job_key*, std::size_t,
                                       job_key_hash, job_key_equal>;

bool same_run(const running_entry& entry, const running_job& job)
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
    entry.m_where = to_indexed(region, job.m_placement);
    entry.m_placed_at = job.m_placed_at;
    entry.m_declared = job.m_spec.m_declared_run_time;
    entry.m_can_be_stopped = can_be_stopped(job.m_spec);
    return entry;
}

entry_index index_entries(const std::vector<running_entry>& entries)
{
    entry_index index;
    index.reserve(entries.size());
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        index.emplace(&entries[i].m_key, i);
    }
    return index;
}

} // namespace

bool can_be_stopped(const job_spec& spec)
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
    std::size_t kept = 0;
    while (kept < m_entries.size() && kept < running.size() &&
           same_run(m_entries[kept], running[kept]))
    {
        ++kept;
    }
    std::vector<running_entry> rest(
        std::make_move_iterator(m_entries.begin() +
                                static_cast<std::ptrdiff_t>(kept)),
        std::make_move_iterator(m_entries.end()));
    m_entries.resize(kept);
    std::vector<bool> found(rest.size(), false);
    entry_index index = index_entries(rest);
    for (std::size_t i = kept; i < running.size(); ++i)
    {
        auto old = index.find(&running[i].m_spec.m_key);
        if (old != index.end() && same_run(rest[old->second], running[i]))
        {
            found[old->second] = true;
            m_entries.push_back(rest[old->second]);
        }
        else
        {
            m_entries.push_back(make_entry(region, running[i]));
        }
    }
    for (std::size_t i = 0; i < running.size(); ++i)
    {
        m_entries[i].m_stopping = running[i].m_stopping;
        m_entries[i].m_saved = running[i].m_saved_run_time;
    }
    std::vector<running_entry> gone;
    for (std::size_t i = 0; i < rest.size(); ++i)
    {
        if (!found[i])
        {
            gone.push_back(std::move(rest[i]));
        }
    }
    return gone;
}

} // namespace kingcuprudder
