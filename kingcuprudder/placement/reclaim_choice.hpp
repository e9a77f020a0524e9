#ifndef KINGCUPRUDDER_PLACEMENT_RECLAIM_CHOICE_HPP
#define KINGCUPRUDDER_PLACEMENT_RECLAIM_CHOICE_HPP

#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/placement/running_table.hpp>

#include <optional>
#include <vector>

namespace kingcuprudder
{

/// A slot and the running jobs to preempt so that it becomes free.
struct reclaim_choice
{
    std::size_t m_slot = 0;
    indexed_placement m_placement;
    std::vector<std::size_t> m_victims; ///< Entries of the running table.
    double m_lost_work = 0;             ///< In accelerator-milliseconds.
};

/// Selects the jobs to preempt for guaranteed shapes so that the lost work is
/// least. Keeps the selections of a pass, so that no two guaranteed shapes use
/// the same resources.
class reclaim_selector
{
public:
    /// Takes the resources that are free now and adds those of the jobs that
    /// are already stopping.
    reclaim_selector(const std::vector<running_entry>& running, free_table free,
                     instant now);

    /// Subtracts the resources of a job that was placed in this pass.
    void subtract_placed(const shape& needed, const indexed_placement& where);

    /// Returns the choice among these slots with the least lost work, or
    /// nothing when none can be freed.
    std::optional<reclaim_choice> choose(const guarantee_layout& layout,
                                         const std::vector<std::size_t>& slots,
                                         const shape& needed) const;

    /// Marks the victims of the choice as stopping and subtracts its slot's
    /// resources.
    void accept(const reclaim_choice& choice, const shape& needed);

private:
    std::optional<reclaim_choice> choose_victims(const guarantee_slot& slot,
                                                 std::size_t number,
                                                 const shape& needed) const;
    /// Adds the victims that free the slot's resources on one worker. Returns
    /// false when they cannot be freed.
    bool add_victims(const indexed_allocation& part, const shape& needed,
                     std::vector<std::size_t>& victims) const;
    bool may_preempt(std::size_t entry) const;

    const std::vector<running_entry>& m_running;
    free_table m_free;
    instant m_now;
    /// By entry: whether it is stopping or selected as a victim.
    std::vector<bool> m_stopping;
    std::vector<std::vector<std::uint32_t>> m_entries_on; ///< By worker.
};

} // namespace kingcuprudder

#endif
