#include <gtest/gtest.h>
#include <performance_test/dispatch_simulation.hpp>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr unsigned seeds = 3;

load_outcome simulate(load_profile profile, double load)
{
    profile.m_load = load;
    profile.m_burst_factor = 2.1;
    load_outcome sum;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        const load_outcome one = simulate_load(profile, seed);
        sum.m_net_credit_ratio += one.m_net_credit_ratio / seeds;
        sum.m_credit_owed += one.m_credit_owed;
        sum.m_credit_earned += one.m_credit_earned;
        sum.m_lost_core_seconds += one.m_lost_core_seconds;
        sum.m_late_reclaims += one.m_late_reclaims;
        sum.m_violations += one.m_violations;
    }
    return sum;
}

} // namespace

// Load of 1.2 times the profile with a burst of urgent jobs. The previous
// placement reached net credit ratios of 0.814 and 0.956.
TEST(dispatch_load, high_load_earns_more_than_the_previous_placement)
{
    EXPECT_GT(simulate(kovacsmuhely_profile(), 1.2).m_net_credit_ratio, 0.814);
    EXPECT_GT(simulate(etikettwerk_profile(), 1.2).m_net_credit_ratio, 0.956);
}

// An overload of 350 workers. The previous placement gave capacity that urgent
// jobs had just freed to other jobs and preempted these for the next urgent
// jobs: its net credit ratio was 0.729, and it stopped 5,752 of 14,239 runs.
TEST(dispatch_load, little_of_a_large_pool_is_stopped_for_urgent_jobs)
{
    load_profile profile = kovacsmuhely_grown_profile();
    profile.m_load = 1.5;
    profile.m_burst_factor = 2.1;
    const load_outcome outcome = simulate_load(profile, 1);
    EXPECT_GT(outcome.m_net_credit_ratio, 0.729);
    EXPECT_LT(outcome.m_stopped_runs, outcome.m_runs / 4);
    EXPECT_EQ(outcome.m_violations, 0);
}

// No run exceeds the capacity of its worker or completes a task twice.
TEST(dispatch_load, no_violation_occurs_under_load)
{
    for (const double load : {0.8, 1.3})
    {
        EXPECT_EQ(simulate(kovacsmuhely_profile(), load).m_violations, 0);
        EXPECT_EQ(simulate(etikettwerk_profile(), load).m_violations, 0);
    }
}

// Guaranteed urgent jobs start within the reclaim bound.
TEST(dispatch_load, guarantees_are_kept_at_the_profiles_load)
{
    EXPECT_EQ(simulate(kovacsmuhely_profile(), 1.0).m_late_reclaims, 0);
    EXPECT_EQ(simulate(etikettwerk_profile(), 1.0).m_late_reclaims, 0);
}

} // namespace kingcuprudder::dispatch
