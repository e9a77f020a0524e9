#include <gtest/gtest.h>
#include <performance_test/dispatch_simulation.hpp>

#include <functional>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr unsigned seeds = 3;
constexpr double crashing_share = 0.3;

/// Simulates both users' loads with the faults and passes on each outcome.
void simulate_faults(const fault_plan& faults, double share,
                     const std::function<void(const load_outcome&)>& check)
{
    for (load_profile profile : {kovacsmuhely_profile(), etikettwerk_profile()})
    {
        profile.m_faults = faults;
        profile.m_faults.m_crashing_class = profile.m_classes.front().m_name;
        profile.m_faults.m_crashing_share = share;
        for (const double load : {1.0, 1.3})
        {
            profile.m_load = load;
            for (unsigned seed = 1; seed <= seeds; ++seed)
            {
                SCOPED_TRACE(profile.m_name + " load " + std::to_string(load) +
                             " seed " + std::to_string(seed));
                check(simulate_load(profile, seed));
            }
        }
    }
}

void check_good_jobs(const load_outcome& outcome)
{
    EXPECT_EQ(outcome.m_crashes.m_failed_good_jobs, std::vector<std::string>());
    EXPECT_EQ(outcome.m_violations, 0);
}

void expect_no_good_job_failed(const fault_plan& faults)
{
    for (const double share : {0.0, crashing_share})
    {
        simulate_faults(faults, share, check_good_jobs);
    }
}

} // namespace

TEST(dispatch_crash_load, crashing_tasks_are_not_started_again_and_again)
{
    for (const bool keeps_ids : {false, true})
    {
        fault_plan faults;
        faults.m_keeps_ids = keeps_ids;
        simulate_faults(faults, crashing_share,
                        [](const load_outcome& outcome)
                        {
                            EXPECT_GT(outcome.m_crashes.m_crashed_by_tasks, 0);
                            EXPECT_EQ(outcome.m_crashes.m_exceeded_budgets, 0);
                            check_good_jobs(outcome);
                        });
    }
}

TEST(dispatch_crash_load, single_crashes_fail_no_good_job)
{
    fault_plan faults;
    faults.m_crashes_per_second = 0.3;
    expect_no_good_job_failed(faults);
}

TEST(dispatch_crash_load, flapping_workers_fail_no_good_job)
{
    fault_plan faults;
    faults.m_flapping_workers = 3;
    expect_no_good_job_failed(faults);
    faults.m_keeps_ids = true;
    expect_no_good_job_failed(faults);
}

TEST(dispatch_crash_load, lost_racks_fail_no_good_job)
{
    fault_plan faults;
    faults.m_rack_losses = 2;
    expect_no_good_job_failed(faults);
}

TEST(dispatch_crash_load, cut_off_workers_fail_no_good_job)
{
    fault_plan faults;
    faults.m_cut_offs_per_second = 0.3;
    expect_no_good_job_failed(faults);
}

} // namespace kingcuprudder::dispatch
