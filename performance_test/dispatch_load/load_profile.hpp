#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_PROFILE_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_PROFILE_HPP

#include <performance_test/dispatch_load/fault_plan.hpp>
#include <performance_test/dispatch_load/load_class.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

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
    fault_plan m_faults;
};

/// The load profiles of the two users' deployments.
load_profile kovacsmuhely_profile();
load_profile etikettwerk_profile();
/// The same deployments after growth to 350 workers and 10 accounts.
load_profile kovacsmuhely_grown_profile();
load_profile etikettwerk_grown_profile();
/// The first user's load on 540 workers.
load_profile kovacsmuhely_large_profile();

} // namespace kingcuprudder::dispatch

#endif
