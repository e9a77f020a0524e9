#include <kingcuprudder/dispatch/urgent_use.hpp>

#include <algorithm>
#include <cmath>

namespace kingcuprudder::dispatch
{

namespace
{

// The use is averaged over about this time, which is that of an urgent job.
constexpr double memory_ms = 2000;
// Arrivals vary, so this share of the mean is left free besides.
constexpr double margin = 0.3;
// The use of a few jobs says little about that of the next ones; from the
// larger number on the mean counts in full.
constexpr double too_few_jobs = 12;
constexpr double enough_jobs = 24;

} // namespace

void urgent_use::update(const std::map<std::string, amount>& used, instant now)
{
    const auto passed = static_cast<double>((now - m_updated_at).count());
    const double weight = 1 - std::exp(-std::max(0.0, passed) / memory_ms);
    m_updated_at = now;
    for (auto& [pool, use] : m_pools)
    {
        use.m_now = amount();
    }
    for (const auto& [pool, now_used] : used)
    {
        m_pools[pool].m_now = now_used;
    }
    for (auto& [pool, use] : m_pools)
    {
        use.m_recent.m_gpus +=
            weight * (use.m_now.m_gpus - use.m_recent.m_gpus);
        use.m_recent.m_jobs +=
            weight * (use.m_now.m_jobs - use.m_recent.m_jobs);
    }
}

std::int64_t urgent_use::kept(const std::string& pool) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
    {
        return 0;
    }
    const pool_use& use = found->second;
    const double certainty = std::clamp((use.m_recent.m_jobs - too_few_jobs) /
                                            (enough_jobs - too_few_jobs),
                                        0.0, 1.0);
    const double kept = use.m_recent.m_gpus * (1 + margin) - use.m_now.m_gpus;
    return static_cast<std::int64_t>(std::max(0.0, kept * certainty));
}

} // namespace kingcuprudder::dispatch
