#ifndef KINGCUPRUDDER_PLACEMENT_GUARANTEE_LAYOUT_HPP
#define KINGCUPRUDDER_PLACEMENT_GUARANTEE_LAYOUT_HPP

#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <map>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// The resources allotted to one guaranteed shape of one account.
struct guarantee_slot
{
    account_id m_account;
    shape m_shape;
    indexed_placement m_placement;

    friend bool operator==(const guarantee_slot&,
                           const guarantee_slot&) = default;
};

/// The number of slots that are missing for a guaranteed shape of an account.
struct guarantee_shortfall
{
    account_id m_account;
    shape m_shape;
    std::uint32_t m_missing = 0;

    friend auto operator<=>(const guarantee_shortfall&,
                            const guarantee_shortfall&) = default;
};

/// Returns a text that names the account and the missing shapes.
std::string describe(const guarantee_shortfall& shortfall);

/// Whether a job of the needed shape may use a slot of the guaranteed shape. A
/// job that needs half of it or less may not: it would block the guarantee
/// while leaving most of it unused.
bool covers(const shape& guaranteed, const shape& needed);

/// The placement of a covered shape within a slot.
indexed_placement place_in_slot(const guarantee_slot& slot,
                                const shape& needed);

/// Whether the slot covers the shape and the placement uses only resources of
/// the slot.
bool runs_in_slot(const guarantee_slot& slot, const shape& needed,
                  const indexed_placement& where);

/// The accelerators, cores and memory that are guaranteed to each account.
/// Depends only on the arguments of build(), so that every owner of the region
/// computes the same layout.
class guarantee_layout
{
public:
    guarantee_layout() = default;

    /// Lays out the guarantees of all accounts on the cluster's workers. Slots
    /// that are lost with a worker or occupied by a non-preemptible job are
    /// moved elsewhere, in order of account priority and id.
    static guarantee_layout build(const effective_settings& settings,
                                  const cluster& region,
                                  const std::vector<running_job>& running);

    const std::vector<guarantee_slot>& slots() const { return m_slots; }

    /// Indices into slots() of an account's slots.
    const std::vector<std::size_t>& slots_of(const account_id& account) const;

    const std::vector<guarantee_shortfall>& shortfalls() const
    {
        return m_shortfalls;
    }

    /// The resources on a worker that are guaranteed to any account.
    const free_capacity& guaranteed_on(std::size_t worker) const
    {
        return m_guaranteed[worker];
    }

    /// The workers' total resources without those of all guarantees.
    free_table unguaranteed_resources(const cluster& region) const;

private:
    friend class layout_builder;

    std::vector<guarantee_slot> m_slots;
    std::map<account_id, std::vector<std::size_t>> m_slots_of;
    std::vector<guarantee_shortfall> m_shortfalls;
    free_table m_guaranteed;
};

/// Returns the guarantees that do not fit on these workers when all of them
/// are idle. Empty when the settings can be accepted.
std::vector<guarantee_shortfall>
check_guarantees(const effective_settings& settings,
                 const std::vector<worker>& workers);

} // namespace kingcuprudder

#endif
