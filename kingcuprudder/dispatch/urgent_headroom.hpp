#ifndef KINGCUPRUDDER_DISPATCH_URGENT_HEADROOM_HPP
#define KINGCUPRUDDER_DISPATCH_URGENT_HEADROOM_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace kingcuprudder::dispatch
{

/// Computes how many GPUs to leave free for urgent jobs from a moving average
/// of their usage. Capacity that urgent jobs have just freed is likely to be
/// needed by the next ones; other runs placed there would soon be preempted and
/// their work lost.
class urgent_headroom
{
public:
    struct usage
    {
        double m_gpus = 0;
        double m_jobs = 0;
    };

    /// Updates the average with the current usage of urgent jobs, by pool.
    void update(const std::map<std::string, usage>& used, instant now);
    /// Returns the number of GPUs that other jobs must leave free in the pool.
    std::int64_t gpus(const std::string& pool) const;

private:
    struct pool_usage
    {
        usage m_average; ///< The moving average of the usage.
        usage m_current;
    };

    std::map<std::string, pool_usage> m_pools;
    instant m_updated_at;
};

} // namespace kingcuprudder::dispatch

#endif
