#include <kingcuprudder/dispatch/urgent_headroom.hpp>

#include <algorithm>
#include <cmath>

namespace kingcuprudder::dispatch
{

namespace
{

// The time constant of the moving average; about the duration of an urgent job.
constexpr double averaging_time_ms = 2000;
// The share of the average that is added because arrivals vary.
constexpr double headroom_margin = 0.3;
// The usage of few jobs does not predict that of the next ones. The headroom
// scales from none at the smaller number of jobs to all at the larger.
constexpr double min_jobs = 12;
constexpr double full_weight_jobs = 24;

} // namespace

void urgent_headroom::update(const std::map<std::string, usage>& used,
                             instant now)
{
    const auto elapsed = static_cast<double>((now - m_updated_at).count());
    const double weight =
        1 - std::exp(-std::max(0.0, elapsed) / averaging_time_ms);
    m_updated_at = now;
    for (auto& [pool, use] : m_pools)
    {
        use.m_current = usage();
    }
    for (const auto& [pool, current] : used)
    {
        m_pools[pool].m_current = current;
    }
    for (auto& [pool, use] : m_pools)
    {
        use.m_average.m_gpus +=
            weight * (use.m_current.m_gpus - use.m_average.m_gpus);
        use.m_average.m_jobs +=
            weight * (use.m_current.m_jobs - use.m_average.m_jobs);
    }
}

std::int64_t urgent_headroom::gpus(const std::string& pool) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
    {
        return 0;
    }
    const pool_usage& use = found->second;
    const double confidence = std::clamp((use.m_average.m_jobs - min_jobs) /
                                             (full_weight_jobs - min_jobs),
                                         0.0, 1.0);
    const double headroom =
        use.m_average.m_gpus * (1 + headroom_margin) - use.m_current.m_gpus;
    return static_cast<std::int64_t>(std::max(0.0, headroom * confidence));
}

} // namespace kingcuprudder::dispatch
