#ifndef KINGCUPRUDDER_PLACEMENT_RECLAIM_CHOICE_HPP
#define KINGCUPRUDDER_PLACEMENT_RECLAIM_CHOICE_HPP

#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/placement/running_table.hpp>

#include <optional>
#include <vector>

namespace kingcuprudder
{

/// The running jobs to stop so that a slot becomes free.
struct reclaim_choice
{
    std::size_t m_slot = 0;
    indexed_placement m_placement;
    std::vector<std::size_t> m_victims; ///< Entries of the running table.
    double m_lost_work = 0;             ///< In accelerator-milliseconds.
};

/// Chooses what to stop for guaranteed shapes, with the least work lost.
/// Remembers what it has chosen during a pass, so that several guaranteed
/// shapes do not count on the same resources.
class reclaim_selector
{
public:
    /// The free table is what is free now. Jobs that are already stopping are
    /// counted as free.
    reclaim_selector(const std::vector<running_entry>& running, free_table free,
                     instant now);

    /// Takes what a job placed in this pass uses.
    void subtract_placed(const shape& needed, const indexed_placement& where);

    /// The slot among these with the least work lost, or nothing when none
    /// can be freed.
    std::optional<reclaim_choice> choose(const guarantee_layout& layout,
                                         const std::vector<std::size_t>& slots,
                                         const shape& needed) const;

    /// Records that the choice is carried out.
    void accept(const reclaim_choice& choice, const shape& needed);

private:
    std::optional<reclaim_choice> choose_victims(const guarantee_slot& slot,
                                                 std::size_t number,
                                                 const shape& needed) const;
    bool add_victims(const indexed_allocation& part, const shape& needed,
                     std::vector<std::size_t>& victims) const;
    bool may_preempt(std::size_t entry) const;

    const std::vector<running_entry>& m_running;
    free_table m_free;
    instant m_now;
    std::vector<bool> m_stopping; ///< By entry: is stopping or chosen.
    std::vector<std::vector<std::uint32_t>> m_entries_on; ///< By worker.
};

} // namespace kingcuprudder

#endif
