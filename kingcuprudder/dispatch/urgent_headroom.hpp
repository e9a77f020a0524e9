#ifndef KINGCUPRUDDER_DISPATCH_URGENT_HEADROOM_HPP
#define KINGCUPRUDDER_DISPATCH_URGENT_HEADROOM_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace kingcuprudder::dispatch
{

/// Follows how many GPUs urgent jobs use. Room that some of them have just
/// left is likely to be needed by the next ones; other work that takes it
/// would soon be stopped and its work lost.
class urgent_headroom
{
public:
    struct usage
    {
        double m_gpus = 0;
        double m_jobs = 0;
    };

    /// Takes what urgent jobs use now, by pool.
    void update(const std::map<std::string, usage>& used, instant now);
    /// How many GPUs other work leaves free in the pool.
    std::int64_t gpus(const std::string& pool) const;

private:
    struct pool_usage
    {
        usage m_average; ///< The average of the last seconds.
        usage m_current;
    };

    std::map<std::string, pool_usage> m_pools;
    instant m_updated_at;
};

} // namespace kingcuprudder::dispatch

#endif
