#ifndef KINGCUPRUDDER_PLACEMENT_PLACEMENT_POLICY_HPP
#define KINGCUPRUDDER_PLACEMENT_PLACEMENT_POLICY_HPP

#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>
#include <kingcuprudder/topology/cluster.hpp>

#include <optional>
#include <vector>

namespace kingcuprudder
{

/// Decides which queued jobs start on which workers. Whatever a decision must
/// honour is in the region's log, so that the policy of a new owner can
/// continue from there.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Called before the first make_plan() and whenever the settings or the set
    /// of workers have changed.
    virtual void configure(const effective_settings& settings,
                           const cluster& region,
                           const std::vector<running_job>& running) = 0;

    /// Returns why the job can never be placed on this region's workers, or
    /// nothing when it can.
    virtual std::optional<std::string>
    never_fits(const cluster& region, const job_spec& spec) const = 0;

    /// Runs one planning pass. Resources of running jobs that are stopping
    /// are still allocated in the cluster.
    virtual plan make_plan(const cluster& region,
                           const std::vector<queued_job>& queue,
                           const std::vector<running_job>& running,
                           instant now) = 0;
};

} // namespace kingcuprudder

#endif
