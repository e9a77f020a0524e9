#ifndef KINGCUPRUDDER_PERFORMANCE_TEST_WORKLOAD_HPP
#define KINGCUPRUDDER_PERFORMANCE_TEST_WORKLOAD_HPP

#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>
#include <kingcuprudder/topology/worker.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// The workers, accounts and job mix of one deployment.
struct deployment
{
    std::string m_name;
    std::vector<worker> m_workers;
    effective_settings m_settings;
    /// The weight with which each account submits jobs.
    std::vector<std::pair<account_id, double>> m_shares;
    std::vector<shape> m_shapes;
    std::vector<double> m_shape_weights; ///< Number of jobs per shape.
    span m_min_run_time;                 ///< Actual run times.
    span m_max_run_time;
    std::uint32_t m_largest_gang = 64; ///< In accelerators.

    std::uint32_t accelerators() const;
};

/// A deployment of 48 workers with 8 accelerators each in 3 zones and 4
/// accounts.
deployment current_deployment(const std::string& name, std::uint32_t cores,
                              std::uint32_t fragmentation_weight_percent);

/// A deployment of this size, spread over this many zones.
deployment planned_deployment(const std::string& name, std::size_t workers,
                              std::uint32_t accelerators, std::size_t zones,
                              std::size_t accounts);

/// A job and its actual run time.
struct generated_job
{
    queued_job m_job;
    span m_actual;
};

struct workload_options
{
    double m_load = 0.85;
    std::size_t m_jobs = 3000;
    std::uint64_t m_seed = 1;
    /// Maximum factor between declared and actual run times, in either
    /// direction.
    double m_largest_error = 10;
};

/// Generates jobs ordered by arrival. The time span of the arrivals is such
/// that the total work uses the given share of the deployment's accelerators.
std::vector<generated_job> generate_jobs(const deployment& where,
                                         const workload_options& options);

/// A lower bound of the mean completion time of the jobs that need
/// accelerators, in milliseconds; see lower_bound.cpp.
double completion_lower_bound(const std::vector<generated_job>& jobs,
                              std::uint32_t accelerators);

} // namespace kingcuprudder

#endif
