#include <kingcuprudder/dispatch/failure_history.hpp>
#include <kingcuprudder/dispatch/restart_backoff.hpp>

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr instant start = instant(1'000'000);

task_ref task_of(const std::string& job, int index = 0)
{
    return {job, 0, 0, index};
}

int avoided_workers(const failure_history& history, int workers, instant now)
{
    int avoided = 0;
    for (int worker = 0; worker < workers; ++worker)
    {
        avoided +=
            history.is_avoided("w" + std::to_string(worker), now) ? 1 : 0;
    }
    return avoided;
}

} // namespace

TEST(failure_history, a_worker_that_fails_two_jobs_is_avoided_at_once)
{
    failure_history history;
    EXPECT_EQ(history.add("w", task_of("a"), start), failure_cause::unknown);
    EXPECT_FALSE(history.is_avoided("w", start));
    EXPECT_TRUE(history.failed_recently("w", start));
    EXPECT_EQ(history.add("w", task_of("b"), start), failure_cause::worker);
    EXPECT_TRUE(history.is_avoided("w", start));
    EXPECT_FALSE(history.is_avoided("w", start + failing_worker_quarantine));
}

TEST(failure_history, a_job_that_fails_again_and_again_marks_no_worker)
{
    failure_history history;
    for (int run = 0; run < 5; ++run)
    {
        history.add("w", task_of("a", run), start);
    }
    EXPECT_FALSE(history.is_avoided("w", start));
}

// Two bad jobs took each worker in turn out of use.
TEST(failure_history, bad_tasks_mark_no_more_workers_than_there_are_bad_tasks)
{
    for (const int bad : {2, 3, 6, 20})
    {
        constexpr int workers = 8;
        failure_history history;
        for (int round = 0; round < workers; ++round)
        {
            for (int job = 0; job < bad; ++job)
            {
                history.add("w" + std::to_string((round + job) % workers),
                            task_of(std::to_string(job)), start);
            }
        }
        EXPECT_EQ(avoided_workers(history, workers, start), 0) << bad;
        EXPECT_FALSE(history.failed_recently("w0", start)) << bad;
    }
}

TEST(failure_history, a_worker_stays_avoided_though_a_task_fails_on_another_one)
{
    failure_history history;
    for (const std::string job : {"a", "b", "c"})
    {
        history.add("grey-1", task_of(job), start);
        history.add("grey-2", task_of(job), start);
    }
    EXPECT_TRUE(history.is_avoided("grey-1", start));
    EXPECT_TRUE(history.is_avoided("grey-2", start));
}

TEST(failure_history, the_blame_is_withdrawn_when_tasks_turn_out_to_be_bad)
{
    failure_history history;
    history.add("w0", task_of("a"), start);
    history.add("w0", task_of("b"), start);
    EXPECT_TRUE(history.is_avoided("w0", start));
    for (const std::string worker : {"w1", "w2"})
    {
        history.add(worker, task_of("a"), start);
        history.add(worker, task_of("b"), start);
    }
    EXPECT_FALSE(history.is_avoided("w0", start));
    EXPECT_FALSE(history.failed_recently("w0", start));
}

TEST(failure_history, a_withdrawn_blame_does_not_return_with_the_end_of_the_job)
{
    failure_history history;
    for (const std::string worker : {"w0", "w1", "w2"})
    {
        history.add(worker, task_of("a"), start);
        history.add(worker, task_of("b"), start);
    }
    history.job_ended("a");
    history.job_ended("b");
    EXPECT_EQ(avoided_workers(history, 3, start), 0);
}

TEST(failure_history, a_job_that_used_its_attempts_on_two_workers_is_to_blame)
{
    failure_history history;
    for (const std::string worker : {"w0", "w1"})
    {
        history.add(worker, task_of("a"), start);
        history.add(worker, task_of("b"), start);
    }
    EXPECT_EQ(avoided_workers(history, 2, start), 2);
    history.attempts_used(task_of("a"));
    EXPECT_EQ(avoided_workers(history, 2, start), 0);
}

TEST(failure_history, one_attempt_does_not_clear_the_worker)
{
    failure_history history;
    history.add("w", task_of("a"), start);
    history.attempts_used(task_of("a"));
    history.add("w", task_of("b"), start);
    EXPECT_TRUE(history.is_avoided("w", start));
}

TEST(failure_history, attempts_used_clear_no_worker_that_failed_more_jobs)
{
    failure_history history;
    for (const std::string job : {"a", "b", "c"})
    {
        history.add("grey", task_of(job), start);
    }
    history.add("w", task_of("a"), start);
    history.attempts_used(task_of("a"));
    EXPECT_TRUE(history.is_avoided("grey", start));
}

TEST(failure_history, a_success_clears_the_worker_but_ends_no_avoidance)
{
    failure_history history;
    history.add("w", task_of("a"), start);
    history.worker_succeeded("w");
    history.add("w", task_of("b"), start);
    EXPECT_FALSE(history.is_avoided("w", start));
    history.add("w", task_of("c"), start);
    EXPECT_TRUE(history.is_avoided("w", start));
    history.worker_succeeded("w");
    EXPECT_TRUE(history.is_avoided("w", start));
    history.worker_restarted("w");
    EXPECT_FALSE(history.is_avoided("w", start));
}

TEST(failure_history, failures_of_another_minute_do_not_add_up)
{
    failure_history history;
    history.add("w", task_of("a"), start);
    history.add("w", task_of("b"), start + span::minutes(2));
    EXPECT_FALSE(history.is_avoided("w", start + span::minutes(2)));
}

TEST(restart_backoff, the_first_restart_has_no_delay_and_the_others_a_bounded)
{
    restart_backoff backoff;
    std::vector<std::int64_t> delays;
    for (int run = 1; run <= 100; ++run)
    {
        backoff.run_ended(run, span(400), start);
        delays.push_back(backoff.delay().count());
    }
    const std::vector<std::int64_t> first(delays.begin(), delays.begin() + 7);
    EXPECT_EQ(first,
              (std::vector<std::int64_t>{0, 250, 500, 1000, 2000, 4000, 4000}));
    EXPECT_EQ(delays.back(), max_restart_delay.count());
    EXPECT_FALSE(backoff.has_passed(start));
    EXPECT_TRUE(backoff.has_passed(start + max_restart_delay));
}

TEST(restart_backoff, a_run_that_lasts_ends_the_delay)
{
    restart_backoff backoff;
    for (int run = 1; run <= 5; ++run)
    {
        backoff.run_ended(run, span(400), start);
    }
    backoff.run_ended(6, successful_run, start);
    EXPECT_EQ(backoff.delay(), span(0));
    EXPECT_TRUE(backoff.has_passed(start));
}

TEST(restart_backoff, the_members_of_a_gang_have_one_run)
{
    restart_backoff backoff;
    for (int member = 0; member < 8; ++member)
    {
        backoff.run_ended(1, span(400), start);
    }
    EXPECT_EQ(backoff.delay(), span(0));
}

} // namespace kingcuprudder::dispatch
