#include <kingcuprudder/dispatch/unrecorded_runs.hpp>

namespace kingcuprudder::dispatch
{

bool unrecorded_runs::add(const std::string& worker, const run_ref& run)
{
    return m_by_worker[worker].try_emplace(run).second;
}

std::optional<stop_attempts> unrecorded_runs::remove(const std::string& worker,
                                                     const run_ref& run)
{
    const auto runs = m_by_worker.find(worker);
    if (runs == m_by_worker.end())
    {
        return std::nullopt;
    }
    const auto removed = runs->second.extract(run);
    if (runs->second.empty())
    {
        m_by_worker.erase(runs);
    }
    return removed ? std::optional(removed.mapped()) : std::nullopt;
}

bool unrecorded_runs::contains(const std::string& worker,
                               const run_ref& run) const
{
    const auto runs = m_by_worker.find(worker);
    return runs != m_by_worker.end() && runs->second.contains(run);
}

std::vector<run_ref> unrecorded_runs::runs_on(const std::string& worker) const
{
    std::vector<run_ref> found;
    const auto runs = m_by_worker.find(worker);
    if (runs != m_by_worker.end())
    {
        for (const auto& [run, stops] : runs->second)
        {
            found.push_back(run);
        }
    }
    return found;
}

} // namespace kingcuprudder::dispatch
