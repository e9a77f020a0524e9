#include <gtest/gtest.h>
#include <soak/job_checks.hpp>

namespace kingcuprudder::soak
{

namespace
{

observed_job accepted_job(const std::string& state, int completed_tasks)
{
    observed_job job;
    job.m_id = "j";
    job.m_accepted = true;
    job.m_tasks = 2;
    job.m_state = state;
    job.m_started_tasks = 2;
    job.m_completed_tasks = completed_tasks;
    return job;
}

/// Returns the name of the rule that the job violates, or nothing.
std::string violated_rule(const observed_job& job)
{
    const std::vector<std::string> found = job_violations(job);
    return found.empty() ? "" : found[0].substr(0, found[0].find(':'));
}

} // namespace

TEST(job_checks, an_accepted_job_has_to_be_completed)
{
    EXPECT_EQ(violated_rule(accepted_job("completed", 2)), "");
    for (const char* state :
         {"queued", "running", "failed", "cancelled", "410", "no answer"})
    {
        EXPECT_EQ(violated_rule(accepted_job(state, 2)), "LOST") << state;
        EXPECT_EQ(violated_rule(accepted_job(state, 1)), "LOST") << state;
    }
}

TEST(job_checks, a_job_that_crashes_workers_may_fail_but_not_get_lost)
{
    for (const char* state : {"queued", "running", "failed"})
    {
        observed_job job = accepted_job(state, 1);
        job.m_crashes_workers = true;
        EXPECT_EQ(violated_rule(job), "") << state;
    }
    for (const char* state : {"cancelled", "410", "no answer"})
    {
        observed_job job = accepted_job(state, 1);
        job.m_crashes_workers = true;
        EXPECT_EQ(violated_rule(job), "LOST") << state;
    }
}

TEST(job_checks, a_cancelled_job_may_be_cancelled_but_not_get_lost)
{
    observed_job job = accepted_job("cancelled", 1);
    job.m_cancelled = true;
    EXPECT_EQ(violated_rule(job), "");
    for (const char* state : {"queued", "running", "failed", "410"})
    {
        job.m_state = state;
        EXPECT_EQ(violated_rule(job), "LOST") << state;
    }
}

TEST(job_checks, a_job_is_completed_when_all_tasks_are_done)
{
    observed_job job = accepted_job("completed", 1);
    EXPECT_EQ(violated_rule(job), "MIXED");
    job.m_crashes_workers = true;
    EXPECT_EQ(violated_rule(job), "MIXED");
}

TEST(job_checks, a_refused_job_must_not_start)
{
    observed_job job;
    job.m_refused_only = true;
    EXPECT_EQ(violated_rule(job), "");
    job.m_started_tasks = 1;
    EXPECT_EQ(violated_rule(job), "REFUSED");
    job.m_refused_only = false; // Its outcome is unknown.
    EXPECT_EQ(violated_rule(job), "");
}

// Guards against a long run that reports a job as lost whose status was kept
// for as long as it has to be, and against one that overlooks a lost job.
TEST(job_checks, only_a_job_that_ended_long_ago_may_be_forgotten)
{
    constexpr instant end(100'000);
    constexpr span kept(120'000);
    EXPECT_TRUE(may_be_forgotten(true, end, end + kept, kept));
    EXPECT_FALSE(may_be_forgotten(true, end, end + kept - span(1), kept));
    EXPECT_FALSE(may_be_forgotten(false, end, end + kept, kept));
    EXPECT_FALSE(may_be_forgotten(true, std::nullopt, end + kept, kept));
}

} // namespace kingcuprudder::soak
