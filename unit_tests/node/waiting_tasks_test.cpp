#include <gtest/gtest.h>
#include <soak/waiting_tasks.hpp>

namespace kingcuprudder::soak
{

namespace
{

constexpr instant now(100'000);

/// A job with a step of two tasks and a second step of two that needs it.
dispatch::job_submission make_job()
{
    dispatch::job_submission job;
    job.m_id = "j";
    job.m_policy.m_pool = "pool";
    job.m_steps.resize(2);
    job.m_steps[0].m_count = 2;
    job.m_steps[1].m_count = 2;
    job.m_steps[1].m_depends_on = {0};
    return job;
}

/// Returns the names of the tasks whose turn has come.
std::vector<std::string> names(const dispatch::job_submission& job,
                               const std::set<std::string>& done = {},
                               instant at = now)
{
    std::vector<std::string> found;
    for (const waiting_task& task : waiting_tasks(job, done, at))
    {
        found.push_back(task.m_name);
    }
    return found;
}

using strings = std::vector<std::string>;

} // namespace

TEST(waiting_tasks, a_step_waits_for_all_tasks_of_earlier_steps)
{
    const dispatch::job_submission job = make_job();
    EXPECT_EQ(names(job), strings{"j.0.0.0"});
    EXPECT_EQ(names(job, {"j.0.0.0"}), strings{"j.0.0.1"});
    EXPECT_EQ(names(job, {"j.0.0.0", "j.0.0.1"}), strings{"j.0.1.0"});
    EXPECT_EQ(names(job, {"j.0.0.0", "j.0.0.1", "j.0.1.0", "j.0.1.1"}),
              strings{});
}

TEST(waiting_tasks, a_gang_waits_as_one_and_ends_with_one_done_member)
{
    dispatch::job_submission job = make_job();
    job.m_steps[0].m_gang = true;
    EXPECT_EQ(names(job), strings{"j.0.0"});
    EXPECT_EQ(waiting_tasks(job, {}, now)[0].m_tasks, 2);
    EXPECT_EQ(names(job, {"j.0.0.1"}), strings{"j.0.1.0"});
}

TEST(waiting_tasks, each_persistent_task_waits)
{
    dispatch::job_submission job = make_job();
    job.m_steps[0].m_persistent = true;
    EXPECT_EQ(names(job), (strings{"j.0.0.0", "j.0.0.1"}));
    job.m_steps[0].m_gang = true;
    EXPECT_EQ(names(job), strings{"j.0.0"});
    EXPECT_EQ(names(job, {"j.0.0.0"})[0], "j.0.0");
}

TEST(waiting_tasks, a_repetition_waits_from_its_due_time_on)
{
    dispatch::job_submission job = make_job();
    job.m_repeats = 3;
    job.m_first_due = now;
    job.m_interval = span(1000);
    EXPECT_EQ(names(job, {}, now - span(1)), strings{});
    EXPECT_EQ(names(job), strings{"j.0.0.0"});
    EXPECT_EQ(names(job, {}, now + span(999)), strings{"j.0.0.0"});
    EXPECT_EQ(names(job, {}, now + span(1000)),
              (strings{"j.0.0.0", "j.1.0.0"}));
    EXPECT_EQ(names(job, {"j.0.0.0", "j.0.0.1"}, now + span(1000)),
              (strings{"j.0.1.0", "j.1.0.0"}));
}

TEST(waiting_tasks, a_task_has_the_requirements_of_its_step)
{
    dispatch::job_submission job = make_job();
    job.m_steps[0].m_demand = {2000, 300, 1};
    job.m_steps[0].m_uses_idle_cpu = true;
    job.m_steps[0].m_required_label = "a";
    job.m_steps[0].m_max_per_worker = 3;
    waiting_task expected;
    expected.m_job = "j";
    expected.m_name = "j.0.0.0";
    expected.m_pool = "pool";
    expected.m_required_label = "a";
    expected.m_demand = {0, 300, 1};
    expected.m_max_per_worker = 3;
    EXPECT_EQ(waiting_tasks(job, {}, now), std::vector{expected});
}

} // namespace kingcuprudder::soak
