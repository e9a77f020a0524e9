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

/// The concrete place of one guaranteed shape of one account.
struct guarantee_slot
{
    account_id m_account;
    shape m_shape;
    indexed_placement m_placement;

    friend bool operator==(const guarantee_slot&,
                           const guarantee_slot&) = default;
};

/// How many of a guaranteed shape an account is missing.
struct guarantee_shortfall
{
    account_id m_account;
    shape m_shape;
    std::uint32_t m_missing = 0;

    friend auto operator<=>(const guarantee_shortfall&,
                            const guarantee_shortfall&) = default;
};

/// Text that names the account and what it lacks.
std::string describe(const guarantee_shortfall& shortfall);

/// Whether a job of this shape can use a place laid out for the guaranteed
/// shape. A job that needs half of it or less cannot: it would block the
/// guarantee while leaving most of it unused.
bool covers(const shape& guaranteed, const shape& needed);

/// Where a covered shape runs within a slot.
indexed_placement place_in_slot(const guarantee_slot& slot,
                                const shape& needed);

/// Whether a job that runs here stays within the slot.
bool runs_in_slot(const guarantee_slot& slot, const shape& needed,
                  const indexed_placement& where);

/// Which accelerators, cores and memory are set aside for which account's
/// guarantees. Depends only on the arguments of build(), so that every owner
/// computes the same layout.
class guarantee_layout
{
public:
    guarantee_layout() = default;

    /// Lays out the guarantees of all accounts on the cluster's workers. Slots
    /// that are lost with a worker or occupied by a job that cannot be stopped
    /// are laid out again elsewhere, in order of account priority and id.
    static guarantee_layout build(const effective_settings& settings,
                                  const cluster& region,
                                  const std::vector<running_job>& running);

    const std::vector<guarantee_slot>& slots() const { return m_slots; }

    /// The numbers of an account's slots.
    const std::vector<std::size_t>& slots_of(const account_id& account) const;

    const std::vector<guarantee_shortfall>& shortfalls() const
    {
        return m_shortfalls;
    }

    /// The resources set aside on a worker for all accounts together.
    const free_capacity& guaranteed_on(std::size_t worker) const
    {
        return m_guaranteed[worker];
    }

    /// What the workers have beside all guarantees.
    free_table unguaranteed_resources(const cluster& region) const;

private:
    friend class layout_builder;

    std::vector<guarantee_slot> m_slots;
    std::map<account_id, std::vector<std::size_t>> m_slots_of;
    std::vector<guarantee_shortfall> m_shortfalls;
    free_table m_guaranteed;
};

/// Every guarantee that cannot be packed on these workers when all of them
/// are empty. Empty when the settings can be accepted.
std::vector<guarantee_shortfall>
check_guarantees(const effective_settings& settings,
                 const std::vector<worker>& workers);

} // namespace kingcuprudder

#endif
