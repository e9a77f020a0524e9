#ifndef KINGCUPRUDDER_PLACEMENT_PLANNING_PASS_HPP
#define KINGCUPRUDDER_PLACEMENT_PLANNING_PASS_HPP

#include <kingcuprudder/placement/gang_policy_options.hpp>
#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/placement/queue_order.hpp>
#include <kingcuprudder/placement/reclaim_choice.hpp>
#include <kingcuprudder/placement/reservation.hpp>
#include <kingcuprudder/placement/run_time_estimator.hpp>
#include <kingcuprudder/placement/running_table.hpp>
#include <kingcuprudder/placement/wait_reason_text.hpp>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// The inputs of one planning pass.
struct planning_input
{
    const cluster& m_region;
    const worker_ranges& m_ranges;
    const guarantee_layout& m_layout;
    const std::vector<running_entry>& m_running;
    const run_time_estimator& m_estimator;
    const gang_policy_options& m_options;
    const scheduler_settings& m_settings;
    std::map<job_key, std::size_t>& m_reserved_ranges;
    instant m_now;
};

/// One planning pass of the gang policy. Places guaranteed shapes first, then
/// urgent jobs and reservation candidates, which get a reservation when they do
/// not fit, then all other jobs that delay no reservation.
class planning_pass
{
public:
    explicit planning_pass(const planning_input& input);

    plan run(const std::vector<queued_job>& queue);

private:
    /// Computes m_unguaranteed and marks the slots with a running job.
    void init_unguaranteed_resources();
    void place_guaranteed();
    bool start_in_own_slot(const ordered_job& job,
                           const std::vector<std::size_t>& slots);
    /// Assigns a slot that is being freed to the job. Preempts jobs for it only
    /// if that is allowed.
    bool reclaim_slot(const ordered_job& job, bool allow_preemption);
    free_table
    without_requested_slots(const std::vector<std::size_t>& waiting) const;
    bool start_elsewhere(const ordered_job& job, free_table& unrequested);
    std::vector<std::size_t> covering_slots(const queued_job& job) const;
    bool may_run_on(const queued_job& job, std::size_t worker) const;
    reclaim_selector& selector();

    void place_urgent();
    void place_reservation_candidates();
    void place_others();
    bool place(const ordered_job& job);
    bool place_or_reserve(const ordered_job& job);
    std::optional<indexed_placement>
    find_placement(const queued_job& job, const free_table& view) const;
    free_table allowed_resources(const queued_job& job,
                                 const free_table& view) const;
    void start(const ordered_job& job, const indexed_placement& where);
    std::size_t reservation_limit() const;
    bool is_overdue(const ordered_job& job) const;
    std::optional<range_preference>
    preferred_range(const ordered_job& job, const free_table& excluded) const;
    bool reserve_for(const ordered_job& job);
    const std::vector<expected_release>& releases();
    instant expected_end(const ordered_job& job) const;
    void add_capacity_wait_reason(const ordered_job& job,
                                  instant expected_start);
    void add_wait_reason(const ordered_job& job, std::string text,
                         instant expected_start);

    const planning_input m_input;
    capacity_views m_views;
    /// Resources outside of guarantees that non-preemptible jobs may use.
    free_table m_unguaranteed;
    /// Resources that are reserved for waiting gangs, by worker.
    free_table m_reserved;
    std::size_t m_reservation_count = 0;
    std::vector<ordered_job> m_order;
    /// Whether the job is placed or has a wait reason, by position in m_order.
    std::vector<bool> m_decided;
    std::vector<bool> m_slot_taken;
    std::optional<reclaim_selector> m_selector;
    std::vector<expected_release> m_releases;
    bool m_releases_computed = false;
    /// The earliest expected end for which a shape did not fit, by whether the
    /// job can be preempted. Jobs of that shape with a later end are skipped.
    std::map<std::pair<shape, bool>, instant> m_earliest_failed_end;
    wait_reason_texts m_wait_reason_texts;
    plan m_plan;
};

} // namespace kingcuprudder

#endif
