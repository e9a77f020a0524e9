// Measures the quality of the placement policies in virtual time.
// Usage: placement_quality [SEEDS [JOBS [DEPLOYMENT [LOAD [POLICY]]]]]
// Runs the seeds 1 to SEEDS and prints the mean of each figure, the sums of
// guarantee misses and lost jobs, and the longest pass.

#include "backfill_baseline.hpp"
#include "simulation.hpp"
#include <kingcuprudder/placement/first_fit_policy.hpp>
#include <kingcuprudder/placement/gang_policy.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>

namespace
{

using namespace kingcuprudder;

struct named_policy
{
    std::string m_name;
    std::function<std::unique_ptr<placement_policy>()> m_make;
};

gang_policy_options best_fit_options()
{
    gang_policy_options options;
    options.m_guarantees = false;
    options.m_aged_order = false;
    options.m_max_reservations = 0;
    return options;
}

/// The gang policy without reservations; "earlier" in the output.
gang_policy_options no_reservation_options()
{
    gang_policy_options options;
    options.m_max_reservations = 0;
    return options;
}

std::vector<named_policy> policies()
{
    return {
        {"first_fit", [] { return std::make_unique<first_fit_policy>(); }},
        {"best_fit",
         [] { return std::make_unique<gang_policy>(best_fit_options()); }},
        {"backfill", [] { return std::make_unique<backfill_baseline>(); }},
        {"earlier", []
         { return std::make_unique<gang_policy>(no_reservation_options()); }},
        {"gang", [] { return std::make_unique<gang_policy>(); }},
    };
}

std::vector<deployment> deployments()
{
    return {
        current_deployment("kovacsmuhely", 64, 25),
        current_deployment("etikettwerk", 128, 75),
        planned_deployment("planned_third", 224, 307, 3, 50),
        planned_deployment("planned_all", 670, 920, 9, 150),
    };
}

std::optional<zone_loss> make_loss(const deployment& where,
                                   const std::vector<generated_job>& jobs,
                                   bool wanted)
{
    if (!wanted)
    {
        return std::nullopt;
    }
    instant half = jobs[jobs.size() / 2].m_job.m_accepted_at;
    return zone_loss{where.m_workers.front().m_zone, half,
                     half + span::hours(2)};
}

void print_line(const std::string& name, const std::string& scenario,
                const std::string& policy, const quality& found)
{
    std::printf("| %s | %s | %s | %.2f | %.2f | %.1f | %.1f | %.2f | %.3f | "
                "%.2f | %zu/%zu | %.2f%% | %zu | %.0f | %.0f |\n",
                name.c_str(), scenario.c_str(), policy.c_str(), found.m_mean_h,
                found.m_p50_h, found.m_p99_h, found.m_slowdown,
                found.m_bound_ratio, found.m_fragmentation,
                found.m_largest_p99_wait_h, found.m_guarantee_misses,
                found.m_guarantee_requests, 100 * found.m_lost_share,
                found.m_lost_jobs, found.m_pass_mean_us, found.m_pass_max_us);
    std::fflush(stdout);
}

/// Adds the figures of one run. Means are added with this weight.
void add(quality& sum, const quality& one, double weight)
{
    sum.m_mean_h += one.m_mean_h * weight;
    sum.m_p50_h += one.m_p50_h * weight;
    sum.m_p99_h += one.m_p99_h * weight;
    sum.m_slowdown += one.m_slowdown * weight;
    sum.m_bound_ratio += one.m_bound_ratio * weight;
    sum.m_fragmentation += one.m_fragmentation * weight;
    sum.m_largest_p99_wait_h += one.m_largest_p99_wait_h * weight;
    sum.m_guarantee_misses += one.m_guarantee_misses;
    sum.m_guarantee_requests += one.m_guarantee_requests;
    sum.m_lost_share += one.m_lost_share * weight;
    sum.m_lost_jobs += one.m_lost_jobs;
    sum.m_pass_mean_us += one.m_pass_mean_us * weight;
    sum.m_pass_max_us = std::max(sum.m_pass_max_us, one.m_pass_max_us);
}

quality run_seeds(const deployment& where, workload_options options,
                  std::uint64_t seeds, bool zone_lost,
                  const named_policy& policy)
{
    quality sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        options.m_seed = seed;
        std::vector<generated_job> jobs = generate_jobs(where, options);
        std::unique_ptr<placement_policy> made = policy.m_make();
        simulation run(where, jobs, *made, make_loss(where, jobs, zone_lost));
        add(sum, run.run(), 1 / static_cast<double>(seeds));
    }
    return sum;
}

} // namespace

int main(int argc, char** argv)
{
    workload_options options;
    std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 3;
    options.m_jobs = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 3000;
    std::string only_deployment = argc > 3 ? argv[3] : "";
    std::string only_scenario = argc > 4 ? argv[4] : "";
    std::string only_policy = argc > 5 ? argv[5] : "";
    std::printf("| deployment | load | policy | mean h | p50 h | p99 h | "
                "slowdown | mean/bound | fragmentation | largest p99 wait h | "
                "guarantee misses | work lost | jobs lost | pass us | pass "
                "max us |\n|---|---|---|---|---|---|---|---|---|---|---|---|"
                "---|---|---|\n");
    for (const deployment& where : deployments())
    {
        for (const std::string scenario : {"60", "85", "95", "85 zone lost"})
        {
            if (where.m_name.find(only_deployment) != 0 ||
                (!only_scenario.empty() && scenario != only_scenario))
            {
                continue;
            }
            options.m_load = std::strtod(scenario.c_str(), nullptr) / 100;
            for (const named_policy& each : policies())
            {
                if (only_policy.empty() || each.m_name == only_policy)
                {
                    print_line(where.m_name, scenario, each.m_name,
                               run_seeds(where, options, seeds,
                                         scenario.size() > 2, each));
                }
            }
        }
    }
    return 0;
}
