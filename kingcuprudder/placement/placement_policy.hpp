#ifndef KINGCUPRUDDER_PLACEMENT_PLACEMENT_POLICY_HPP
#define KINGCUPRUDDER_PLACEMENT_PLACEMENT_POLICY_HPP

#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>
#include <kingcuprudder/topology/cluster.hpp>

#include <optional>
#include <vector>

namespace kingcuprudder
{

/// Decides which queued jobs start where. Keeps no state that the region's log
/// does not hold as well: a new owner's policy decides the same way.
class placement_policy
{
public:
    virtual ~placement_policy() = default;

    /// Called before the first plan() and whenever settings or the set of
    /// workers have changed.
    virtual void configure(const effective_settings& settings,
                           const cluster& region,
                           const std::vector<running_job>& running) = 0;

    /// Why the shape can never be placed on this region's workers, or nothing
    /// when it can.
    virtual std::optional<std::string>
    never_fits(const cluster& region, const job_spec& spec) const = 0;

    /// One planning pass. The cluster shows what is free now; running jobs
    /// that are stopping still occupy their accelerators.
    virtual plan make_plan(const cluster& region,
                           const std::vector<queued_job>& queue,
                           const std::vector<running_job>& running,
                           instant now) = 0;
};

} // namespace kingcuprudder

#endif
