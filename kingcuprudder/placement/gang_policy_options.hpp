#ifndef KINGCUPRUDDER_PLACEMENT_GANG_POLICY_OPTIONS_HPP
#define KINGCUPRUDDER_PLACEMENT_GANG_POLICY_OPTIONS_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>

namespace kingcuprudder
{

/// Parameters of the gang policy. Production uses the defaults; other values
/// define the baselines that the measurements compare against.
struct gang_policy_options
{
    /// Lays out guarantees, withholds them from non-preemptible jobs of other
    /// accounts and reclaims them.
    bool m_guarantees = true;
    /// Places jobs where they fragment free capacity least; first fit
    /// otherwise.
    bool m_tight_fit = true;
    /// Orders the queue by work, reduced with the wait; by arrival otherwise.
    bool m_aged_order = true;
    /// Maximum number of simultaneous reservations at a fragmentation weight
    /// of 100 %. A lower weight allows fewer, as each reservation leaves
    /// accelerators unused, but at least one. 0 disables reservations.
    std::size_t m_max_reservations = 5;
    /// Waiting this long halves the work by which a job is ordered.
    span m_aging_half_life = span::minutes(15);
    /// Minimum wait of a gang before it gets a reservation.
    span m_min_wait_for_reservation = span::minutes(5);
    /// Once a gang has waited this many times its expected run time, its
    /// reserved accelerators are drained without further backfill, so that
    /// wrong run time estimates cannot starve it.
    std::int64_t m_drain_after_run_times = 10;
    /// Minimum wait before accelerators are drained.
    span m_min_wait_for_drain = span::hours(6);
};

} // namespace kingcuprudder

#endif
