#ifndef KINGCUPRUDDER_DISPATCH_WORKER_INDEX_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_INDEX_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>
#include <kingcuprudder/dispatch/worker_table.hpp>

#include <map>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// Tasks of one step that look for room.
struct capacity_request
{
    std::string m_pool;
    std::string m_label; ///< A label that the workers must have, or empty.
    resources m_demand;  ///< Of each task.
    int m_count = 1;     ///< Tasks that need room at the same time.
    bool m_one_rack = false;

    /// Whether this one finds no room if the other found none.
    bool demands_at_least(const capacity_request& other) const;

    friend bool operator==(const capacity_request&,
                           const capacity_request&) = default;
};

/// The workers that may get work in one planning pass, by pool and rack, and
/// the requests for which they have no room. Room only shrinks during a pass
/// unless runs are stopped.
class worker_index
{
public:
    using workers = std::vector<worker_entry*>;
    struct pool_workers
    {
        workers m_all;
        std::map<std::string, workers> m_racks;
    };

    void add(worker_entry& worker);

    const std::map<std::string, pool_workers>& pools() const { return m_pools; }
    /// The workers of the pool.
    const workers& pool(const std::string& name) const;
    /// The workers of the pool by rack.
    const std::map<std::string, workers>& racks(const std::string& pool) const;

    bool has_failed(const capacity_request& request) const;
    void record_failure(const capacity_request& request);
    /// Room was made.
    void clear_failures();

private:
    std::map<std::string, pool_workers> m_pools;
    std::vector<capacity_request> m_failures;
};

} // namespace kingcuprudder::dispatch

#endif
