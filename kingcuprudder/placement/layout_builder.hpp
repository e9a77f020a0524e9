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

    /// Lays out all guarantees on the empty cluster, large ones first; in
    /// order of priority when not all can be packed.
    void lay_out_on_empty_cluster();

    /// Gives up the slots that lost workers or jobs that cannot be stopped
    /// make unusable and lays them out again around those jobs.
    void repair(const std::vector<running_job>& running);

    guarantee_layout finish() const;

private:
    /// One guaranteed shape that needs a slot.
    struct demand
    {
        account_id m_account;
        std::int32_t m_priority = 0;
        std::uint32_t m_number = 0; ///< Position within the account.
        shape m_shape;
        std::optional<indexed_placement> m_placement;
    };

    bool pack(const std::vector<std::size_t>& order);
    std::vector<std::size_t> priority_order() const;
    std::vector<std::size_t> size_order() const;
    std::vector<running_entry>
    non_preemptible_jobs(const std::vector<running_job>& running) const;
    std::vector<bool>
    match_jobs_to_slots(std::vector<running_entry>& jobs) const;
    void keep_slots(const std::vector<bool>& held, bool only_held);
    void assign_running_job(demand& unplaced,
                            std::vector<running_entry>& jobs) const;

    const cluster& m_region;
    worker_ranges m_ranges;
    std::vector<demand> m_demands;
    free_table m_available;
};

} // namespace kingcuprudder

#endif
