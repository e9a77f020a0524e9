#include <gtest/gtest.h>
#include <platform/platform_records.hpp>
#include <soak/job_plan.hpp>
#include <soak/named_sheets.hpp>
#include <soak/scheduled_work.hpp>

#include <map>

namespace kingcuprudder::soak
{

// A seed that reports a violation must play the same jobs again.
TEST(deployment_plan, a_seed_does_not_draw_other_jobs_the_next_time)
{
    const deployment_sheet sheet;
    const std::vector<planned_job> first = plan_jobs(sheet, 7);
    const std::vector<planned_job> second = plan_jobs(sheet, 7);
    ASSERT_EQ(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index)
    {
        EXPECT_EQ(first[index].m_id, second[index].m_id);
        EXPECT_EQ(first[index].m_work, second[index].m_work);
    }
}

// Guards against a load that is far below the one of the sheet.
TEST(deployment_plan, no_kind_of_job_is_rarer_or_narrower_than_in_the_sheet)
{
    deployment_sheet sheet;
    sheet.m_load_time = span::seconds(600);
    std::map<int, int> jobs;
    std::map<int, int> tasks;
    for (const planned_job& each : plan_jobs(sheet, 3))
    {
        ++jobs[each.m_kind];
        tasks[each.m_kind] += each.m_steps.front().m_tasks;
    }
    for (int kind = 0; kind < 3; ++kind)
    {
        const job_kind& expected = sheet.m_kinds[kind];
        EXPECT_GT(jobs[kind], 600 * expected.m_jobs_per_s * 0.9);
        EXPECT_GT(tasks[kind], jobs[kind] * expected.m_mean_width * 0.8);
    }
}

// Guards against a field of a submission that the processes do not read.
TEST(deployment_plan, no_property_of_a_job_is_missing_in_its_submission)
{
    const deployment_sheet sheet;
    int repeated = 0;
    int persistent = 0;
    int several_steps = 0;
    int saving = 0;
    for (const planned_job& each : plan_jobs(sheet, 5))
    {
        const job_kind& kind = sheet.m_kinds[each.m_kind];
        const auto job =
            platform::decode_job(each.m_id, body_of(each, kind, 5'000'000));
        ASSERT_TRUE(job);
        ASSERT_EQ(job->m_steps.size(), each.m_steps.size());
        EXPECT_EQ(job->m_repeats, each.m_repeats);
        EXPECT_EQ(job->m_interval, each.m_interval);
        EXPECT_EQ(job->m_first_due != instant(), each.m_repeats > 1);
        EXPECT_EQ(job->m_steps[0].m_demand, demand_of(each, kind));
        EXPECT_EQ(job->m_steps[0].m_gang, is_gang(each, kind));
        EXPECT_EQ(job->m_steps[0].m_persistent, each.m_persistent);
        EXPECT_EQ(job->m_steps[0].m_writes_checkpoints, each.m_saves_progress);
        for (std::size_t step = 1; step < job->m_steps.size(); ++step)
        {
            EXPECT_EQ(job->m_steps[step].m_depends_on,
                      std::vector<int>{static_cast<int>(step) - 1});
        }
        repeated += each.m_repeats > 1 ? 1 : 0;
        persistent += each.m_persistent ? 1 : 0;
        several_steps += each.m_steps.size() > 1 ? 1 : 0;
        saving += each.m_saves_progress ? 1 : 0;
    }
    EXPECT_GT(repeated, 0);
    EXPECT_GT(persistent, 0);
    EXPECT_GT(several_steps, 0);
    EXPECT_GT(saving, 0);
}

// Guards against a plan without one kind of work, and against a process that is
// started before another one was removed.
TEST(deployment_plan, no_kind_of_planned_work_is_missing)
{
    const deployment_sheet sheet;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        std::map<scheduled_work::kind, std::vector<span>> times;
        for (const scheduled_work& each : plan_work(sheet, seed))
        {
            times[each.m_kind].push_back(each.m_at);
        }
        EXPECT_EQ(times.size(), 7u);
        EXPECT_LT(times[scheduled_work::kind::retire].front(),
                  times[scheduled_work::kind::add_process].front());
        EXPECT_GT(times[scheduled_work::kind::terminate].size(), 10u);
    }
}

// Guards against a long run whose planned work is all at its begin.
TEST(deployment_plan, planned_work_is_not_rarer_in_a_longer_load)
{
    const deployment_sheet sheet = sheet_named("etw-label");
    const deployment_sheet longer =
        with_load_time(sheet, sheet.m_load_time * 10);
    EXPECT_EQ(longer.m_rounds, 10);
    std::map<std::int64_t, std::map<scheduled_work::kind, int>> rounds;
    for (const scheduled_work& each : plan_work(longer, 3))
    {
        ++rounds[each.m_at.count() / sheet.m_load_time.count()][each.m_kind];
    }
    for (int round = 0; round < longer.m_rounds; ++round)
    {
        EXPECT_GT(rounds[round][scheduled_work::kind::terminate], 0) << round;
        EXPECT_GT(rounds[round][scheduled_work::kind::drain_workers], 0)
            << round;
        EXPECT_EQ(rounds[round][scheduled_work::kind::retire], 1) << round;
    }
}

// Guards against the start of a process that is there, and against the removal
// of one that is not.
TEST(deployment_plan, only_the_absent_process_is_added)
{
    const deployment_sheet sheet = sheet_named("etw-label");
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        int absent = sheet.m_processes;
        int removed = absent;
        for (const scheduled_work& each :
             plan_work(with_load_time(sheet, sheet.m_load_time * 10), seed))
        {
            if (each.m_kind == scheduled_work::kind::add_process)
            {
                EXPECT_EQ(each.m_subject, absent) << seed;
                absent = removed;
            }
            if (each.m_kind == scheduled_work::kind::retire)
            {
                EXPECT_NE(each.m_subject, absent) << seed;
                removed = each.m_subject;
            }
        }
    }
}

TEST(deployment_plan, an_unknown_sheet_is_not_played)
{
    for (const std::string& each : sheet_names())
    {
        EXPECT_NO_THROW(sheet_named(each)) << each;
    }
    EXPECT_THROW(sheet_named("no such sheet"), std::invalid_argument);
}

} // namespace kingcuprudder::soak
