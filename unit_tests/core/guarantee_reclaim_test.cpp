#include "placement_test_support.hpp"

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

using namespace placement_test;

const shape one_worker = gang(8, proximity::worker);

/// One zone with two workers; account a is guaranteed slots of one worker.
struct reclaim_fixture : testing::Test
{
    void configure(std::uint32_t slots)
    {
        m_policy.configure(guarantees({{"a", {one_worker, slots}}}),
                           m_simulation.m_region, m_simulation.m_running);
    }

    void run(const queued_job& job, const std::string& where, instant now)
    {
        m_simulation.m_queue.push_back(job);
        m_simulation.start({job.m_spec.m_key, {{worker_id(where), 8, 0xff}}},
                           now);
    }

    simulated_region m_simulation{make_region(1, 1)};
    gang_policy m_policy;
    instant m_now{span::hours(10).count()};
};

// Guards against preempting a long-running job when a younger one occupies
// another slot, and against assigning the freed slot to another account.
TEST_F(reclaim_fixture, stops_the_job_with_the_least_work_lost)
{
    configure(2);
    run(make_job("b", "old", one_worker, {}), "w100", instant(1));
    run(make_job("b", "young", one_worker, {}), "w101",
        m_now - span::minutes(5));
    m_simulation.m_queue = {make_job("a", "own", one_worker, m_now),
                            make_job("b", "other", one_worker, instant(1))};

    plan first = m_simulation.step(m_policy, m_now);
    ASSERT_EQ(first.m_reclaims.size(), 1u);
    EXPECT_EQ(first.m_reclaims[0].m_victim.m_job, job_id("young"));
    EXPECT_EQ(first.m_reclaims[0].m_beneficiary.m_job, job_id("own"));

    plan waiting = m_simulation.step(m_policy, m_now + span(100));
    EXPECT_TRUE(waiting.m_reclaims.empty());

    m_simulation.end("young");
    plan second = m_simulation.step(m_policy, m_now + span(500));
    ASSERT_EQ(second.m_placements.size(), 1u);
    EXPECT_EQ(second.m_placements[0].m_job.m_job, job_id("own"));
}

// Guards against a reclaim while other free capacity suffices.
TEST_F(reclaim_fixture, stops_nothing_while_capacity_is_free)
{
    configure(1);
    run(make_job("b", "borrower", one_worker, {}), "w100", instant(1));
    m_simulation.m_queue = {make_job("a", "own", one_worker, m_now)};
    plan decided = m_simulation.step(m_policy, m_now);
    EXPECT_TRUE(decided.m_reclaims.empty());
    EXPECT_EQ(decided.m_placements.size(), 1u);
}

// Guards against preempting a non-preemptible job.
TEST_F(reclaim_fixture, never_stops_non_preemptible_jobs)
{
    for (bool idempotent : {true, false})
    {
        m_simulation = simulated_region(make_region(1, 1));
        queued_job fixed = make_job("b", "fixed", one_worker, {});
        fixed.m_spec.m_idempotent = idempotent;
        fixed.m_spec.m_preemptible = !idempotent;
        run(fixed, "w100", instant(1));
        run(fixed, "w101", instant(1));
        configure(2);
        m_simulation.m_queue = {make_job("a", "own", one_worker, m_now)};
        plan decided = m_simulation.step(m_policy, m_now);
        EXPECT_TRUE(decided.m_reclaims.empty());
        EXPECT_EQ(m_policy.layout().shortfalls().size(), 1u);
        ASSERT_EQ(decided.m_wait_reasons.size(), 1u);
    }
}

// Guards against a non-preemptible job on accelerators of another account's
// guarantee, which could then not be reclaimed.
TEST_F(reclaim_fixture, keeps_non_preemptible_jobs_off_other_guarantees)
{
    configure(1);
    m_simulation.m_queue = {
        non_preemptible(make_job("b", "one", one_worker, instant(1))),
        non_preemptible(make_job("b", "two", one_worker, instant(2)))};
    plan decided = m_simulation.step(m_policy, m_now);
    ASSERT_EQ(decided.m_placements.size(), 1u);
    const guarantee_slot& slot = m_policy.layout().slots()[0];
    EXPECT_NE(m_simulation.m_region.index_of(
                  decided.m_placements[0].m_placement[0].m_worker),
              slot.m_placement[0].m_worker);

    m_simulation.m_queue = {
        non_preemptible(make_job("a", "own", one_worker, m_now))};
    plan own = m_simulation.step(m_policy, m_now);
    ASSERT_EQ(own.m_placements.size(), 1u);
}

// Guards against placing a job in a slot that another account requests in the
// same pass.
TEST_F(reclaim_fixture, lends_no_requested_slot)
{
    m_policy.configure(
        guarantees({{"a", {one_worker, 1}}, {"b", {one_worker, 1}}}),
        m_simulation.m_region, {});
    run(make_job("c", "borrower", one_worker, {}), "w100", instant(1));
    m_simulation.m_queue = {make_job("a", "a1", one_worker, m_now),
                            make_job("b", "b1", one_worker, m_now)};
    plan first = m_simulation.step(m_policy, m_now);
    EXPECT_EQ(first.m_placements.size(), 1u);
    EXPECT_EQ(first.m_reclaims.size(), 1u);
}

// Guards against urgent jobs that wait behind other jobs for the same slots.
TEST_F(reclaim_fixture, places_urgent_jobs_within_their_guarantee_first)
{
    configure(1);
    run(make_job("b", "fixed", one_worker, {}), "w100", instant(1));
    run(make_job("b", "more", one_worker, {}), "w101", instant(1));
    queued_job urgent = make_job("a", "urgent", one_worker, m_now);
    urgent.m_spec.m_urgent = true;
    m_simulation.m_queue = {make_job("a", "usual", one_worker, instant(1)),
                            urgent};
    plan decided = m_simulation.step(m_policy, m_now);
    ASSERT_EQ(decided.m_reclaims.size(), 1u);
    EXPECT_EQ(decided.m_reclaims[0].m_beneficiary.m_job, job_id("urgent"));
}

} // namespace
} // namespace kingcuprudder
