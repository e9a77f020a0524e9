#ifndef KINGCUPRUDDER_TOPOLOGY_WORKER_HPP
#define KINGCUPRUDDER_TOPOLOGY_WORKER_HPP

#include <kingcuprudder/base/tagged_id.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace kingcuprudder
{

/// A machine that runs tasks. It has at most 64 accelerators, so that a set of
/// them fits into one 64-bit mask.
struct worker
{
    worker_id m_id;
    zone_id m_zone;
    rack_id m_rack;
    std::uint32_t m_accelerators = 0;
    std::uint32_t m_cores = 0;
    std::uint32_t m_memory_mb = 0; ///< In mebibytes.
    std::string m_address;         ///< IP address and port of its interface.

    friend auto operator<=>(const worker&, const worker&) = default;
};

} // namespace kingcuprudder

#endif
