#ifndef KINGCUPRUDDER_PERFORMANCE_TEST_BACKFILL_BASELINE_HPP
#define KINGCUPRUDDER_PERFORMANCE_TEST_BACKFILL_BASELINE_HPP

#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>

namespace kingcuprudder
{

/// Baseline: arrival order with backfill that counts accelerators only. The
/// first job that does not fit gets a reservation for a number of accelerators
/// at the time at which declared run times promise that many.
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
