#ifndef KINGCUPRUDDER_PERFORMANCE_TEST_METRICS_HPP
#define KINGCUPRUDDER_PERFORMANCE_TEST_METRICS_HPP

#include "workload.hpp"
#include <kingcuprudder/placement/shape_fitting.hpp>

#include <map>
#include <vector>

namespace kingcuprudder
{

/// Quality figures of one simulated run.
struct quality
{
    double m_mean_h = 0; ///< Completion time of accelerator jobs, in hours.
    double m_p50_h = 0;
    double m_p99_h = 0;
    double m_slowdown = 0; ///< Mean of completion time / run time.
    double m_bound_ratio = 0;
    double m_fragmentation = 0;
    double m_largest_p99_wait_h = 0;
    std::size_t m_guarantee_misses = 0;
    std::size_t m_guarantee_requests = 0;
    double m_lost_share = 0;     ///< Of all accelerator time used.
    std::size_t m_lost_jobs = 0; ///< Lost with the zone, not run again.
    double m_pass_mean_us = 0;
    double m_pass_max_us = 0;
};

/// Collects the figures of one simulated run.
class metrics
{
public:
    metrics(const deployment& where, const std::vector<generated_job>& jobs,
            const cluster& region);

    void job_ended(const generated_job& job, instant now);
    void job_started_first(const generated_job& job, instant now);
    void job_lost() { ++m_result.m_lost_jobs; }
    void work_lost(double accelerator_ms) { m_lost_work += accelerator_ms; }
    void record_pass_time(double microseconds);

    /// Updates which guaranteed shapes are requested but not running. Called
    /// after each pass.
    void update_guarantees(const std::vector<queued_job>& queue,
                           const std::vector<running_job>& running,
                           instant now);

    /// Adds the fragmentation from the last call until now, weighted by time.
    void advance_to(const cluster& region, std::size_t arrived, instant now);

    quality finish();

private:
    /// Whether and since when a guaranteed shape is requested but not running.
    struct guarantee_state
    {
        std::uint32_t m_count = 0;
        std::uint32_t m_running = 0;
        std::uint32_t m_waiting = 0;
        bool m_unmet = false;
        instant m_unmet_since;
    };

    guarantee_state* guarantee_of(const job_spec& spec);
    double unusable_share(const cluster& region, std::size_t arrived) const;

    const deployment& m_deployment;
    const std::vector<generated_job>& m_jobs;
    worker_ranges m_ranges;
    std::map<std::pair<account_id, shape>, guarantee_state> m_guarantees;
    quality m_result;
    std::vector<double> m_completions;
    std::vector<double> m_largest_waits;
    double m_slowdowns = 0;
    double m_completed_work = 0;
    double m_lost_work = 0;
    double m_fragmentation = 0;
    double m_fragmentation_time = 0;
    instant m_last;
    double m_pass_total = 0;
    std::size_t m_passes = 0;
};

} // namespace kingcuprudder

#endif
