#ifndef KINGCUPRUDDER_TOPOLOGY_CLUSTER_HPP
#define KINGCUPRUDDER_TOPOLOGY_CLUSTER_HPP

#include <kingcuprudder/topology/placement.hpp>
#include <kingcuprudder/topology/shape.hpp>
#include <kingcuprudder/topology/worker.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace kingcuprudder
{

/// The free capacity of one worker.
struct free_capacity
{
    std::uint64_t m_accelerators = 0; ///< Bit i: accelerator i is free.
    std::uint32_t m_cores = 0;
    std::uint32_t m_memory_mb = 0;

    friend auto operator<=>(const free_capacity&,
                            const free_capacity&) = default;
};

/// The workers of a region and the free capacity of each. Workers are ordered
/// by zone, rack and id, so that neighbours have adjacent indices.
class cluster
{
public:
    cluster() = default;
    explicit cluster(std::vector<worker> workers);

    std::size_t size() const { return m_workers.size(); }
    const worker& worker_at(std::size_t index) const
    {
        return m_workers[index];
    }
    const free_capacity& free_at(std::size_t index) const
    {
        return m_free[index];
    }

    /// Whether the worker at this index may receive new work.
    bool usable(std::size_t index) const { return m_usable[index]; }

    /// The index of a worker, or size() when the region has no such worker.
    std::size_t index_of(const worker_id& id) const;

    /// Sets whether a worker may receive new work. Allocated resources stay
    /// allocated until they are released.
    void set_usable(const worker_id& id, bool usable);

    /// Allocates the resources of a whole placement. All of them must be
    /// free.
    void allocate(const shape& needed, const placement& where);

    /// Frees the resources of a whole placement.
    void release(const shape& needed, const placement& where);

    /// Whether all resources of a placement are free.
    bool is_free(const shape& needed, const placement& where) const;

private:
    std::vector<worker> m_workers;
    std::vector<free_capacity> m_free;
    std::vector<bool> m_usable;
    std::map<worker_id, std::size_t> m_index;
};

} // namespace kingcuprudder

#endif
