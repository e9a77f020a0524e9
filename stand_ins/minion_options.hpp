#ifndef STAND_INS_MINION_OPTIONS_HPP
#define STAND_INS_MINION_OPTIONS_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>
#include <cstdint>

namespace kingcuprudder::stand_ins
{

/// Number, size and times of the simulated minions.
struct minion_options
{
    int m_count = 6;
    int m_per_rack = 4;
    int m_gpus = 8;
    std::int64_t m_cpu = 64'000; ///< In thousandths of a core.
    std::int64_t m_memory_mb = 256'000;
    /// How long a minion holds its runs at most after an order.
    span m_max_hold = span(6000);
    /// The time between two writes of a minion's entry.
    span m_heartbeat = span(500);
    /// How long a member of a gang waits for the others.
    span m_gang_timeout = span(3000);
    /// How long a minion that drains continues to work.
    span m_drain_time = span(3000);
    /// Each open connection to a minion occupies a thread.
    std::size_t m_listener_threads = 200;
};

} // namespace kingcuprudder::stand_ins

#endif
