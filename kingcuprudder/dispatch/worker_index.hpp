#ifndef KINGCUPRUDDER_DISPATCH_WORKER_INDEX_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_INDEX_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>
#include <kingcuprudder/dispatch/worker_table.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A request for free capacity for tasks of one step.
struct capacity_request
{
    std::string m_pool;
    std::string m_label; ///< The required label; empty for none.
    resources m_demand;  ///< The demand of each task.
    int m_count = 1;     ///< The number of tasks to place together.
    bool m_one_rack = false;

    /// Returns whether this request demands at least as much as the other, so
    /// that it fails if the other has failed.
    bool demands_at_least(const capacity_request& other) const;

    friend bool operator==(const capacity_request&,
                           const capacity_request&) = default;
};

/// The usable workers of one planning pass, by pool and rack, and the requests
/// that have failed in the pass. A failed request stays valid as free capacity
/// only decreases during a pass, unless runs are preempted.
class worker_index
{
public:
    using workers = std::vector<worker_entry*>;
    /// Workers by the number of GPUs for new assignments, then by id.
    using workers_by_gpus = std::map<std::int64_t, workers>;
    struct pool_workers
    {
        workers m_all;
        std::map<std::string, workers> m_racks;
        workers_by_gpus m_by_gpus;
    };

    /// Adds a worker. Workers are added in the order of their ids.
    void add(worker_entry& worker);
    /// Notes that the capacity for new assignments has changed.
    void update(worker_entry& worker);

    const std::map<std::string, pool_workers>& pools() const { return m_pools; }
    /// Returns the workers of the pool.
    const workers& pool(const std::string& name) const;
    /// Returns the workers of the pool by rack.
    const std::map<std::string, workers>& racks(const std::string& pool) const;

    /// Returns the workers of the pool by their free GPUs.
    const workers_by_gpus& by_gpus(const std::string& pool) const;

    bool has_failed(const capacity_request& request) const;
    void record_failure(const capacity_request& request);
    /// Clears the failed requests after a preemption freed capacity.
    void clear_failures();

private:
    std::map<std::string, pool_workers> m_pools;
    std::vector<capacity_request> m_failures;
};

} // namespace kingcuprudder::dispatch

#endif
