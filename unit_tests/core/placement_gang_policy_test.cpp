#include "placement_test_support.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <rapidcheck.h>

namespace kingcuprudder
{
namespace
{

using namespace placement_test;

/// Submits a large gang under a continuous load of small jobs whose declared
/// run times are wrong by this factor. Returns how long the gang waits, with a
/// new policy in each pass if requested.
span wait_of_large_gang(double declared_to_actual, bool new_policy_each_pass)
{
    simulated_region region(make_region(3, 4));
    gang_policy policy;
    policy.configure({}, region.m_region, {});
    std::mt19937_64 random(7);
    std::map<instant, std::vector<std::string>> ends;
    instant begin(span::hours(1).count());
    int number = 0;
    for (instant now(0); now - begin < span::hours(400);
         now = now + span::minutes(5))
    {
        while (!ends.empty() && ends.begin()->first <= now)
        {
            for (const std::string& id : ends.begin()->second)
            {
                region.end(id);
            }
            ends.erase(ends.begin());
        }
        if (now == begin)
        {
            region.m_queue.push_back(
                make_job("large", "large", gang(64, proximity::zone), now));
        }
        while (region.m_queue.size() < 60)
        {
            span actual = span::minutes(20 + random() % 100);
            span declared(static_cast<std::int64_t>(
                static_cast<double>(actual.count()) * declared_to_actual));
            region.m_queue.push_back(
                make_job("small", std::to_string(number++),
                         gang(1 + static_cast<std::uint32_t>(random() % 4),
                              proximity::worker),
                         now, declared));
        }
        if (new_policy_each_pass)
        {
            policy = gang_policy();
            policy.configure({}, region.m_region, region.m_running);
        }
        for (const auto& each : region.step(policy, now).m_placements)
        {
            if (each.m_job.m_job == job_id("large"))
            {
                return now - begin;
            }
            const job_spec& spec =
                region.running(each.m_job.m_job.str())->m_spec;
            span actual(static_cast<std::int64_t>(
                static_cast<double>(spec.m_declared_run_time.count()) /
                declared_to_actual));
            ends[now + actual].push_back(spec.m_key.m_job.str());
        }
    }
    return span::hours(400);
}

// Guards against a large gang that starves behind small jobs, even with wrong
// declared run times and when the owner changes before each pass.
TEST(placement_gang_policy, does_not_starve_the_largest_gang)
{
    for (double factor : {0.1, 1.0, 10.0})
    {
        EXPECT_LT(wait_of_large_gang(factor, false), span::hours(16)) << factor;
        EXPECT_LT(wait_of_large_gang(factor, true), span::hours(16)) << factor;
    }
}

// Guards against backfill that delays the reservation of a waiting gang.
TEST(placement_gang_policy, backfills_only_what_ends_before_the_reservation)
{
    simulated_region region(make_region(1, 1));
    gang_policy policy;
    policy.configure({}, region.m_region, {});
    queued_job first = make_job("a", "first", gang(8, proximity::worker),
                                instant(1), span::hours(2));
    region.m_queue = {first};
    region.start({first.m_spec.m_key, {{worker_id("w100"), 8, 0xff}}},
                 instant(1));
    instant now(span::minutes(30).count());
    region.m_queue = {
        make_job("a", "gang", gang(16, proximity::zone), instant(1)),
        make_job("a", "long", gang(1, proximity::worker), now, span::hours(5)),
        make_job("a", "short", gang(1, proximity::worker), now,
                 span::minutes(5))};

    plan decided = region.step(policy, now);

    ASSERT_EQ(decided.m_placements.size(), 1u);
    EXPECT_EQ(decided.m_placements[0].m_job.m_job, job_id("short"));
    ASSERT_EQ(decided.m_wait_reasons.size(), 2u);
    EXPECT_EQ(decided.m_wait_reasons[0].m_job.m_job, job_id("gang"));
    EXPECT_EQ(decided.m_wait_reasons[0].m_expected_start,
              instant(1) + span::hours(2));
    EXPECT_EQ(
        decided.m_wait_reasons[0].m_text,
        "needs 16 tasks x 1 accelerators in one zone; lacks capacity for 8 "
        "of 16 tasks in zone z0");
}

// Guards against small jobs that break up whole workers.
TEST(placement_gang_policy, keeps_whole_workers_free_for_larger_shapes)
{
    simulated_region region(make_region(1, 2));
    gang_policy policy;
    policy.configure({}, region.m_region, {});
    for (int i = 0; i < 8; ++i)
    {
        region.m_queue = {make_job("a", std::to_string(i),
                                   gang(1, proximity::worker), instant(1))};
        region.step(policy, instant(2));
    }
    region.m_queue = {
        make_job("a", "large", gang(24, proximity::zone), instant(1))};
    EXPECT_EQ(region.step(policy, instant(3)).m_placements.size(), 1u);
}

// Guards against accepting a non-preemptible job that would wait forever
// because all resources that fit it are guaranteed to other accounts.
TEST(placement_gang_policy, refuses_what_can_never_run)
{
    cluster region = make_region(1, 1);
    gang_policy policy;
    policy.configure(guarantees({{"a", {gang(8, proximity::worker), 2}}}),
                     region, {});
    queued_job own = make_job("a", "x", gang(8, proximity::worker), {});
    queued_job other = make_job("b", "x", gang(8, proximity::worker), {});
    queued_job large = make_job("b", "x", gang(17, proximity::zone), {});
    EXPECT_FALSE(policy.never_fits(region, non_preemptible(own).m_spec));
    EXPECT_FALSE(policy.never_fits(region, other.m_spec));
    EXPECT_TRUE(policy.never_fits(region, non_preemptible(other).m_spec));
    EXPECT_TRUE(policy.never_fits(region, large.m_spec));
}

/// Checks that a placement holds the whole gang within its proximity and uses
/// no excluded worker, and that a non-preemptible job uses no accelerator of
/// another account's guarantee.
void check_placement(const simulated_region& region,
                     const guarantee_layout& layout, const queued_job& job,
                     const placement& where)
{
    const shape& needed = job.m_spec.m_shape;
    RC_ASSERT(region.m_region.is_free(needed, where));
    worker_ranges ranges(region.m_region);
    std::uint32_t tasks = 0;
    std::set<std::size_t> used;
    for (const allocation& part : where)
    {
        std::size_t index = region.m_region.index_of(part.m_worker);
        RC_ASSERT(region.m_region.usable(index));
        RC_ASSERT(std::count(job.m_excluded_workers.begin(),
                             job.m_excluded_workers.end(), part.m_worker) == 0);
        RC_ASSERT(
            __builtin_popcountll(part.m_accelerators) ==
            static_cast<int>(part.m_tasks * needed.m_accelerators_per_task));
        used.insert(ranges.range_of(needed.m_proximity, index));
        tasks += part.m_tasks;
        for (const guarantee_slot& slot : layout.slots())
        {
            for (const indexed_allocation& kept : slot.m_placement)
            {
                RC_ASSERT(can_be_preempted(job.m_spec) ||
                          slot.m_account == job.m_spec.m_key.m_account ||
                          kept.m_worker != index ||
                          (kept.m_accelerators & part.m_accelerators) == 0);
            }
        }
    }
    RC_ASSERT(tasks == needed.m_tasks);
    RC_ASSERT(used.size() == 1u);
}

std::uint32_t random_below(std::mt19937_64& random, std::uint32_t limit)
{
    return static_cast<std::uint32_t>(random() % limit);
}

queued_job draw_job(std::mt19937_64& random, int number, instant now)
{
    proximity near = static_cast<proximity>(random_below(random, 4));
    std::uint32_t most = near == proximity::worker ? 4 : 24;
    queued_job job = make_job(
        std::string(1, static_cast<char>('a' + random_below(random, 3))),
        std::to_string(number),
        gang(1 + random_below(random, most), near, 1 + random_below(random, 2)),
        now, span::minutes(1 + random_below(random, 100)));
    job.m_spec.m_idempotent = random_below(random, 4) != 0;
    job.m_spec.m_urgent = random_below(random, 8) == 0;
    if (random_below(random, 8) == 0)
    {
        job.m_excluded_workers.push_back(worker_id("w101"));
    }
    return job;
}

/// Simulates random jobs, completions, reclaims and a zone loss from one seed
/// and checks every plan.
void check_random_run(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    effective_settings settings =
        guarantees({{"a", {gang(8, proximity::worker), 2}},
                    {"b", {gang(16, proximity::rack), 1}}});
    simulated_region region(make_region(3, 2));
    gang_policy policy;
    gang_policy twin;
    policy.configure(settings, region.m_region, {});
    twin.configure(settings, region.m_region, {});
    for (int step = 0; step < 40; ++step)
    {
        instant now = instant(span::minutes(10 * step + 1).count());
        for (std::size_t i = random_below(random, 4); i > 0; --i)
        {
            queued_job job = draw_job(random, step * 10 + int(i), now);
            if (!policy.never_fits(region.m_region, job.m_spec))
            {
                region.m_queue.push_back(job);
            }
        }
        std::vector<std::string> ended;
        for (const running_job& each : region.m_running)
        {
            if (each.m_stopping || random_below(random, 5) == 0)
            {
                ended.push_back(each.m_spec.m_key.m_job.str());
            }
        }
        for (const std::string& id : ended)
        {
            region.end(id);
        }
        if (step == 20)
        {
            for (int i = 0; i < 4; ++i)
            {
                region.m_region.set_usable(region.m_region.worker_at(i).m_id,
                                           false);
            }
            policy.configure(settings, region.m_region, region.m_running);
            twin.configure(settings, region.m_region, region.m_running);
        }
        plan other = twin.make_plan(region.m_region, region.m_queue,
                                    region.m_running, now);
        simulated_region before = region;
        plan decided = region.step(policy, now);
        RC_ASSERT(decided == other);
        RC_ASSERT(decided.m_placements.size() + decided.m_wait_reasons.size() ==
                  before.m_queue.size());
        for (const planned_reclaim& each : decided.m_reclaims)
        {
            const running_job* victim =
                region.running(each.m_victim.m_job.str());
            RC_ASSERT(can_be_preempted(victim->m_spec));
        }
        for (const planned_placement& each : decided.m_placements)
        {
            auto job =
                std::find_if(before.m_queue.begin(), before.m_queue.end(),
                             [&](const queued_job& queued)
                             { return queued.m_spec.m_key == each.m_job; });
            RC_ASSERT(job != before.m_queue.end());
            check_placement(before, policy.layout(), *job, each.m_placement);
            before.start(each, now);
        }
    }
}

// Guards against any plan that splits a gang, leaves its proximity, uses
// allocated accelerators, stops a non-preemptible job, lacks a wait reason, or
// differs between two policies with the same inputs.
TEST(placement_gang_policy, makes_only_valid_and_reproducible_plans)
{
    rc::detail::TestParams params;
    params.seed = 20240601;
    params.maxSuccess = 60;
    auto outcome = rc::detail::checkTestable(
        [] { check_random_run(*rc::gen::arbitrary<std::uint32_t>()); },
        rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    EXPECT_TRUE(outcome.is<rc::detail::SuccessResult>()) << text.str();
}

} // namespace
} // namespace kingcuprudder
