#ifndef PERFORMANCE_TEST_DISPATCH_SIMULATION_HPP
#define PERFORMANCE_TEST_DISPATCH_SIMULATION_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A class of jobs in a load profile.
struct load_class
{
    std::string m_name;
    double m_per_second = 1; ///< The mean arrival rate.
    int m_priority = 0;
    /// The credit of a job of mean size that ends in time.
    double m_credit = 1;
    double m_late_credit = 0; ///< The credit of such a job that ends late.
    double m_stretch = 1;
    span m_start_allowance;
    int m_max_attempts = 3;
    double m_work_ms = 1000;
    double m_work_spread = 0.3;
    /// The maximum relative error of the declared duration.
    double m_estimate_error = 0.2;
    double m_width = 4;
    double m_max_width = 24;
    resources m_per_task; ///< The GPUs are drawn from m_gpus.
    std::vector<int> m_gpus;
    bool m_gang = false;
    double m_same_rack_share = 0;
    double m_data_rack_share = 0;
    double m_checkpoint_share = 0;
    double m_error_share = 0;
};

/// A deployment and the load on it.
struct load_profile
{
    std::string m_name;
    int m_workers = 48;
    int m_workers_per_rack = 8;
    resources m_worker;
    std::vector<double> m_zone_slowdown; ///< The slowdown by availability zone.
    int m_accounts = 4;
    std::int64_t m_guaranteed_gpus = 60; ///< The guarantee of each account.
    std::vector<load_class> m_classes;
    span m_duration = span::seconds(34);
    double m_load = 1; ///< The factor for the arrival rates.
    /// The factor for the arrival rate of the most urgent class in a burst.
    double m_burst_factor = 1;
    /// The credit deducted for each core-second of lost work.
    double m_lost_work_price = 0.0015;
};

/// The load profiles of the two users' deployments.
load_profile kovacsmuhely_profile();
load_profile etikettwerk_profile();
/// The same deployments after growth to 350 workers and 10 accounts.
load_profile kovacsmuhely_grown_profile();
load_profile etikettwerk_grown_profile();
/// The first user's load on 540 workers.
load_profile kovacsmuhely_large_profile();

/// The outcome of a simulation.
struct load_outcome
{
    struct per_class
    {
        int m_jobs = 0;
        int m_in_time = 0;
        int m_late = 0;
        double m_credit_owed = 0;
        double m_credit_earned = 0;
    };
    std::map<std::string, per_class> m_classes;
    double m_credit_owed = 0;
    double m_credit_earned = 0;
    double m_lost_core_seconds = 0;
    /// The credit earned less the price of the lost work, divided by the credit
    /// of all jobs.
    double m_net_credit_ratio = 0;
    /// The time that planning took on this machine.
    double m_decision_seconds = 0;
    int m_runs = 0;
    int m_stopped_runs = 0;
    /// The number of guaranteed jobs that did not start within the reclaim
    /// bound.
    int m_late_reclaims = 0;
    /// The number of runs that exceeded a worker's capacity or completed a task
    /// a second time.
    int m_violations = 0;
};

/// Simulates the load in virtual time against the dispatcher alone.
load_outcome simulate_load(const load_profile& profile, unsigned seed);

} // namespace kingcuprudder::dispatch

#endif
