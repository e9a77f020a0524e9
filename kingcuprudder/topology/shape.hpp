#ifndef KINGCUPRUDDER_TOPOLOGY_SHAPE_HPP
#define KINGCUPRUDDER_TOPOLOGY_SHAPE_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace kingcuprudder
{

/// How close together the tasks of a gang must be.
enum class proximity
{
    worker, ///< All tasks on one worker.
    rack,   ///< All tasks in one rack.
    zone,   ///< All tasks in one availability zone.
    region, ///< Anywhere in the region.
};

std::string_view to_string(proximity value);
std::optional<proximity> proximity_from_string(std::string_view name);

/// The number of tasks of a gang, the resources of each and their proximity.
struct shape
{
    std::uint32_t m_tasks = 1;
    std::uint32_t m_accelerators_per_task = 0;
    std::uint32_t m_cores_per_task = 1;
    std::uint32_t m_memory_mb_per_task = 0; ///< In mebibytes.
    proximity m_proximity = proximity::region;

    /// Accelerators of all tasks together.
    std::uint32_t accelerators() const
    {
        return m_tasks * m_accelerators_per_task;
    }

    friend auto operator<=>(const shape&, const shape&) = default;
};

} // namespace kingcuprudder

#endif
