#ifndef KINGCUPRUDDER_PLACEMENT_SHAPE_FITTING_HPP
#define KINGCUPRUDDER_PLACEMENT_SHAPE_FITTING_HPP

#include <kingcuprudder/topology/cluster.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// A range of worker indices of a cluster that form one worker, rack, zone or
/// the region.
struct worker_range
{
    std::size_t m_first = 0;
    std::size_t m_last = 0; ///< One past the last index.

    friend bool operator==(const worker_range&, const worker_range&) = default;
};

/// The racks and zones of a cluster as ranges of worker indices.
class worker_ranges
{
public:
    worker_ranges() = default;
    explicit worker_ranges(const cluster& region);

    /// The ranges within which a gang of this proximity must stay.
    const std::vector<worker_range>& of(proximity value) const;

    /// The number of the range of this proximity that holds the worker.
    std::size_t range_of(proximity value, std::size_t worker) const;

    /// The number of accelerators of the worker, free or not.
    std::uint32_t accelerators_of(std::size_t worker) const
    {
        return m_accelerators[worker];
    }

private:
    std::vector<worker_range> m_workers;
    std::vector<worker_range> m_racks;
    std::vector<worker_range> m_zones;
    std::vector<worker_range> m_region;
    std::vector<std::uint32_t> m_rack_of;
    std::vector<std::uint32_t> m_zone_of;
    std::vector<std::uint32_t> m_accelerators;
};

/// Free resources of each worker, by worker index.
using free_table = std::vector<free_capacity>;

/// The part of a gang on one worker, by worker index.
struct indexed_allocation
{
    std::uint32_t m_worker = 0;
    std::uint32_t m_tasks = 0;
    std::uint64_t m_accelerators = 0;

    friend auto operator<=>(const indexed_allocation&,
                            const indexed_allocation&) = default;
};

/// Where a whole gang runs, by worker index.
using indexed_placement = std::vector<indexed_allocation>;

/// The free resources of each worker, none on workers that take no new work.
free_table free_resources(const cluster& region);

/// The total resources of each worker.
free_table total_resources(const cluster& region);

/// The number of tasks of this shape that fit into the free resources.
std::uint32_t tasks_that_fit(const free_capacity& left, const shape& needed);

/// Chooses count accelerators out of the free set: the shortest contiguous
/// run that is long enough, else the lowest ones.
std::uint64_t choose_accelerators(std::uint64_t free, std::uint32_t count);

/// A worker's resources without the excluded ones.
free_capacity without(const free_capacity& left, const free_capacity& excluded);

/// Whether one allocation fits into the free resources of its worker.
bool can_allocate(const free_capacity& left, const shape& needed,
                  const indexed_allocation& part);

/// Whether all resources of a placement are free.
bool is_free(const free_table& table, const shape& needed,
             const indexed_placement& where);

/// Subtracts or adds the resources of an allocation. Subtracting ignores
/// resources that are not free.
void subtract_resources(free_table& table, const shape& needed,
                        const indexed_allocation& part);
void subtract_resources(free_table& table, const shape& needed,
                        const indexed_placement& where);
void add_resources(free_table& table, const shape& needed,
                   const indexed_allocation& part);

/// Places a gang in the first range with enough free capacity, on its workers
/// in index order.
std::optional<indexed_placement> first_fit(const free_table& table,
                                           const worker_ranges& ranges,
                                           const shape& needed);

/// Returns why the shape cannot be placed even when all of these resources are
/// free, or nothing when it can. The reason names the resources by name.
std::optional<std::string> reason_never_fits(const free_table& resources,
                                             const worker_ranges& ranges,
                                             const shape& needed,
                                             const std::string& name);

/// Converts between worker indices and worker ids. Workers that the cluster
/// does not have are left out of the indexed form.
placement to_placement(const cluster& region, const indexed_placement& where);
indexed_placement to_indexed(const cluster& region, const placement& where);

/// Returns a text for a shape, e.g. "64 tasks x 1 accelerators in one zone".
std::string describe(const shape& needed);

} // namespace kingcuprudder

#endif
