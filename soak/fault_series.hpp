#ifndef SOAK_FAULT_SERIES_HPP
#define SOAK_FAULT_SERIES_HPP

#include <soak/deployment.hpp>
#include <soak/disruption_record.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <random>

namespace kingcuprudder::soak
{

/// Injects unplanned faults one after the other: processes that are killed or
/// paused and a store that refuses, loses answers, is slow or has discarded its
/// history.
class fault_series
{
public:
    /// All but the seed must outlive this. Its functions are called from the
    /// thread that starts and ends the processes.
    fault_series(deployment& nodes, stand_ins::platform_stand_in& platform,
                 disruption_record& disruptions, unsigned seed);

    /// Ends the fault in progress if it is due and begins the next one.
    void advance();
    /// Ends the fault in progress.
    void stop();
    /// Whether the process is down or paused by a fault.
    bool holds(int node) const { return m_held == node; }
    int count() const { return m_count; }

private:
    int draw(int below);
    void begin();
    void begin_process_fault(bool pause);
    void begin_store_fault(stand_ins::memory_store::fault kind, double share);

    deployment& m_nodes;
    stand_ins::platform_stand_in& m_platform;
    disruption_record& m_disruptions;
    std::mt19937 m_random;
    int m_count = 0;
    bool m_in_progress = false;
    /// The process that is down or paused, or -1.
    int m_held = -1;
    bool m_paused = false;
    /// When the fault in progress ends, or the next one begins.
    instant m_due;
};

} // namespace kingcuprudder::soak

#endif
