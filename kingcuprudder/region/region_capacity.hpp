#ifndef KINGCUPRUDDER_REGION_REGION_CAPACITY_HPP
#define KINGCUPRUDDER_REGION_REGION_CAPACITY_HPP

#include <kingcuprudder/region/job_spec.hpp>
#include <kingcuprudder/topology/cluster.hpp>

#include <map>
#include <vector>

namespace kingcuprudder
{

/// The region's workers and what the jobs hold of them. Keeps count when
/// workers leave the list and come back while jobs still hold parts of them.
class region_capacity
{
public:
    /// Replaces the set of workers. What jobs hold stays occupied.
    void set_workers(std::vector<worker> workers);

    /// Whether a placement is free as a whole.
    bool is_free(const shape& needed, const placement& where) const
    {
        return m_cluster.is_free(needed, where);
    }

    /// Takes what a job's placement needs, as far as its workers are listed.
    void allocate(const job_key& job, const shape& needed,
                  const placement& where);

    /// Gives back everything that the job holds.
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
        placement m_taken; ///< The parts on listed workers.
    };

    void take(holding& held);

    cluster m_cluster;
    std::map<job_key, holding> m_holdings;
};

} // namespace kingcuprudder

#endif
