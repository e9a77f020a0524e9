#ifndef KINGCUPRUDDER_PLACEMENT_GANG_POLICY_HPP
#define KINGCUPRUDDER_PLACEMENT_GANG_POLICY_HPP

#include <kingcuprudder/placement/gang_policy_options.hpp>
#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/placement/run_time_estimator.hpp>
#include <kingcuprudder/placement/running_table.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>

#include <map>

namespace kingcuprudder
{

/// Places gangs with guarantees, reservations and reclaim. The state kept
/// between passes only improves estimates and keeps reservations in place; a
/// new instance starts without it and still honours all guarantees.
class gang_policy : public placement_policy
{
public:
    explicit gang_policy(gang_policy_options options = {}) : m_options(options)
    {
    }

    void configure(const effective_settings& settings, const cluster& region,
                   const std::vector<running_job>& running) override;

    std::optional<std::string> never_fits(const cluster& region,
                                          const job_spec& spec) const override;

    plan make_plan(const cluster& region, const std::vector<queued_job>& queue,
                   const std::vector<running_job>& running,
                   instant now) override;

    /// The current layout of the guarantees.
    const guarantee_layout& layout() const { return m_layout; }

private:
    /// Updates the run time estimates with the jobs that have completed.
    void observe_completions(const std::vector<running_entry>& ended,
                             const std::vector<queued_job>& queue, instant now);
    /// Lays out the guarantees again when some are missing and a
    /// non-preemptible job has ended.
    void rebuild_incomplete_layout(const std::vector<running_entry>& ended,
                                   const cluster& region,
                                   const std::vector<running_job>& running);
    /// Assigns each running job to a slot of its account that it occupies.
    void assign_slots();
    /// Removes the reservations of jobs that are not queued any more.
    void prune_reservations(const std::vector<queued_job>& queue);

    gang_policy_options m_options;
    effective_settings m_settings;
    worker_ranges m_ranges;
    guarantee_layout m_layout;
    running_table m_running;
    run_time_estimator m_estimator;
    /// Number of the range that each waiting gang reserved in the last pass.
    std::map<job_key, std::size_t> m_reserved_ranges;
};

} // namespace kingcuprudder

#endif
