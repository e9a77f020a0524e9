#ifndef KINGCUPRUDDER_REGION_REGION_CAPACITY_HPP
#define KINGCUPRUDDER_REGION_REGION_CAPACITY_HPP

#include <kingcuprudder/region/job_spec.hpp>
#include <kingcuprudder/topology/cluster.hpp>

#include <map>
#include <vector>

namespace kingcuprudder
{

/// The region's workers and the accelerators allocated to jobs. Allocations are
/// kept while a worker is missing from the list and apply again when it is
/// back.
class region_capacity
{
public:
    /// Replaces the set of workers and keeps all allocations.
    void set_workers(std::vector<worker> workers);

    /// Whether all accelerators of a placement are free.
    bool is_free(const shape& needed, const placement& where) const
    {
        return m_cluster.is_free(needed, where);
    }

    /// Allocates a job's placement on those of its workers that are listed.
    void allocate(const job_key& job, const shape& needed,
                  const placement& where);

    /// Frees everything that is allocated to the job.
    void release(const job_key& job);

    void set_usable(const worker_id& id, bool usable)
    {
        m_cluster.set_usable(id, usable);
    }

    const cluster& view() const { return m_cluster; }

private:
    struct holding
    {
        shape m_shape;
        placement m_where;
        placement m_taken; ///< The parts allocated on listed workers.
    };

    void take(holding& held);

    cluster m_cluster;
    std::map<job_key, holding> m_holdings;
};

} // namespace kingcuprudder

#endif
