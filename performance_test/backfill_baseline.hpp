#ifndef KINGCUPRUDDER_PERFORMANCE_TEST_BACKFILL_BASELINE_HPP
#define KINGCUPRUDDER_PERFORMANCE_TEST_BACKFILL_BASELINE_HPP

#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>

namespace kingcuprudder
{

/// Baseline policy: arrival order with backfill by accelerator count. The first
/// job that does not fit reserves its number of accelerators at the time at
/// which that many are free according to the declared run times.
class backfill_baseline : public placement_policy
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
