#ifndef KINGCUPRUDDER_PLACEMENT_GANG_POLICY_OPTIONS_HPP
#define KINGCUPRUDDER_PLACEMENT_GANG_POLICY_OPTIONS_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>

namespace kingcuprudder
{

/// Parts of the gang policy that can be switched off or tuned. The defaults
/// are the policy; other values serve the baselines of the measurements.
struct gang_policy_options
{
    /// Lays out guarantees, keeps them for their accounts and reclaims them.
    bool m_guarantees = true;
    /// Places jobs where they break the fewest larger free shapes; first fit
    /// otherwise.
    bool m_tight_fit = true;
    /// Orders the queue by aged work; by arrival otherwise.
    bool m_aged_order = true;
    /// How many waiting gangs have a reservation at once when only
    /// fragmentation counts. With a lower weight there are fewer, as each one
    /// leaves accelerators unused; there is one at least.
    std::size_t m_max_reservations = 5;
    /// A wait this long weighs as much as needing half the work.
    span m_aging_half_life = span::minutes(15);
    /// A gang gets a reservation once it has waited this long.
    span m_min_wait_for_reservation = span::minutes(5);
    /// A gang that has waited this many times its expected run time gets its
    /// reserved accelerators drained, without further backfill, so that wrong
    /// estimates cannot delay it for ever.
    std::int64_t m_drain_after_run_times = 10;
    /// The least wait before accelerators are drained.
    span m_min_wait_for_drain = span::hours(6);
};

} // namespace kingcuprudder

#endif
