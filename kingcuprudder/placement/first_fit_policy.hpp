#ifndef KINGCUPRUDDER_PLACEMENT_FIRST_FIT_POLICY_HPP
#define KINGCUPRUDDER_PLACEMENT_FIRST_FIT_POLICY_HPP

#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>

namespace kingcuprudder
{

/// Baseline policy: starts every queued job that fits, in arrival order, on the
/// first workers with enough free capacity. Ignores guarantees and reclaims
/// nothing.
class first_fit_policy : public placement_policy
{
public:
    void configure(const effective_settings& settings, const cluster& region,
                   const std::vector<running_job>& running) override;

    std::optional<std::string> never_fits(const cluster& region,
                                          const job_spec& spec) const override;

    plan make_plan(const cluster& region, const std::vector<queued_job>& queue,
                   const std::vector<running_job>& running,
                   instant now) override;

private:
    worker_ranges m_ranges;
};

} // namespace kingcuprudder

#endif
