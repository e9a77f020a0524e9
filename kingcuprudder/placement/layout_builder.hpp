#ifndef KINGCUPRUDDER_PLACEMENT_LAYOUT_BUILDER_HPP
#define KINGCUPRUDDER_PLACEMENT_LAYOUT_BUILDER_HPP

#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/placement/running_table.hpp>

#include <optional>

namespace kingcuprudder
{

/// The steps of guarantee_layout::build().
class layout_builder
{
public:
    layout_builder(const effective_settings& settings, const cluster& region);

    /// Lays out all guarantees as if the cluster were idle, large ones first;
    /// in order of account priority when not all of them fit.
    void lay_out_on_empty_cluster();

    /// Moves the slots that are unusable because of lost workers or
    /// non-preemptible jobs to other resources.
    void repair(const std::vector<running_job>& running);

    guarantee_layout finish() const;

private:
    /// One guaranteed shape that needs a slot.
    struct demand
    {
        account_id m_account;
        std::int32_t m_priority = 0;
        std::uint32_t m_number = 0; ///< Position among the account's demands.
        shape m_shape;
        std::optional<indexed_placement> m_placement;
    };

    /// Lays out the demands that have no placement, in this order. Returns
    /// whether all of them fit.
    bool pack(const std::vector<std::size_t>& order);
    std::vector<std::size_t> priority_order() const;
    std::vector<std::size_t> size_order() const;
    std::vector<running_entry>
    non_preemptible_jobs(const std::vector<running_job>& running) const;
    /// Sets m_slot of each job that runs in a slot of its account. Returns for
    /// each demand whether a job runs in its slot.
    std::vector<bool>
    match_jobs_to_slots(std::vector<running_entry>& jobs) const;
    /// Subtracts the slots that stay in place from the available resources and
    /// clears the placements of the others. Slots without a job stay only if
    /// they are free and only_held is false.
    void keep_slots(const std::vector<bool>& held, bool only_held);
    /// Gives a demand without a placement the placement and shape of a running
    /// job of its account that it covers and that runs outside of slots.
    void assign_running_job(demand& unplaced,
                            std::vector<running_entry>& jobs) const;

    const cluster& m_region;
    worker_ranges m_ranges;
    std::vector<demand> m_demands;
    free_table m_available;
};

} // namespace kingcuprudder

#endif
