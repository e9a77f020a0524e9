#ifndef KINGCUPRUDDER_TOPOLOGY_PLACEMENT_HPP
#define KINGCUPRUDDER_TOPOLOGY_PLACEMENT_HPP

#include <kingcuprudder/base/tagged_id.hpp>

#include <compare>
#include <cstdint>
#include <vector>

namespace kingcuprudder
{

/// The part of a gang that one worker runs.
struct allocation
{
    worker_id m_worker;
    std::uint32_t m_tasks = 0;
    std::uint64_t m_accelerators = 0; ///< Bit i stands for accelerator i.

    friend auto operator<=>(const allocation&, const allocation&) = default;
};

/// Where a whole gang runs, one allocation for each worker.
using placement = std::vector<allocation>;

} // namespace kingcuprudder

#endif
