#include <gtest/gtest.h>
#include <soak/idle_checks.hpp>

namespace kingcuprudder::soak
{

namespace
{

constexpr promise_bounds bounds;
constexpr instant start(100'000);
constexpr span interval(100);
constexpr int worker_gpus = 8;

worker_sample make_worker(const std::string& id, int free_gpus)
{
    worker_sample worker;
    worker.m_id = id;
    worker.m_pool = "pool";
    worker.m_labels = {"a"};
    worker.m_capacity = {64'000, 256'000, worker_gpus};
    worker.m_free = {64'000, 256'000, free_gpus};
    return worker;
}

/// A task with one GPU of a job whose turn has come.
waiting_task make_task()
{
    waiting_task task;
    task.m_job = "j";
    task.m_name = "j.0.0.0";
    task.m_pool = "pool";
    task.m_demand = {1000, 1000, 1};
    return task;
}

waiting_task make_persistent_task()
{
    waiting_task task = make_task();
    task.m_persistent = true;
    return task;
}

/// One worker of which six of eight GPUs are in use, and a waiting task.
deployment_sample calm_sample(const waiting_task& task = make_task())
{
    deployment_sample sample;
    sample.m_calm = true;
    sample.m_workers = {make_worker("w", 2)};
    sample.m_waiting = {task};
    return sample;
}

/// After the end, with disruptions shortly before and one GPU over half free.
deployment_sample finished_sample(const waiting_task& task = make_task())
{
    deployment_sample sample = calm_sample(task);
    sample.m_calm = false;
    sample.m_finished = true;
    sample.m_workers = {make_worker("w", worker_gpus / 2 + 1)};
    return sample;
}

/// Plays samples of a deployment at a fixed interval.
class player
{
public:
    /// Plays samples from the present time up to and including this time after
    /// the start. Returns the messages.
    std::vector<std::string> play(deployment_sample sample, span until)
    {
        std::vector<std::string> found;
        for (; m_now <= start + until; m_now = m_now + interval)
        {
            sample.m_at = m_now;
            const std::vector<std::string> messages = m_checks.observe(sample);
            found.insert(found.end(), messages.begin(), messages.end());
        }
        return found;
    }

    /// Plays no sample until this time after the start.
    void skip_to(span until) { m_now = start + until; }

private:
    idle_checks m_checks = idle_checks(bounds);
    instant m_now = start;
};

/// How long calm samples show an idle job before it breaks the promise.
constexpr span calm_bound = bounds.m_calm_before_idle + bounds.m_idle;

} // namespace

TEST(idle_checks, an_idle_job_in_a_calm_deployment_gives_one_message)
{
    player samples;
    EXPECT_TRUE(samples.play(calm_sample(), calm_bound).empty());
    const auto found = samples.play(calm_sample(), calm_bound * 3);
    ASSERT_EQ(found.size(), 1);
    EXPECT_EQ(found[0], "LOST: job j has nothing running for 3100 ms, and "
                        "there is room for two of j.0.0.0");
}

TEST(idle_checks, a_job_that_becomes_idle_in_calm_time_has_the_idle_bound)
{
    player samples;
    deployment_sample sample = calm_sample();
    sample.m_present = {{"w", "j.0.0.1"}};
    EXPECT_TRUE(samples.play(sample, calm_bound * 2).empty());
    const span idle_from = calm_bound * 2 + interval;
    EXPECT_TRUE(samples.play(calm_sample(), idle_from + bounds.m_idle).empty());
    EXPECT_EQ(samples.play(calm_sample(), idle_from + bounds.m_idle + interval)
                  .size(),
              1);
}

TEST(idle_checks, a_disruption_begins_the_calm_time_anew)
{
    player samples;
    deployment_sample disrupted = calm_sample();
    disrupted.m_calm = false;
    EXPECT_TRUE(samples.play(calm_sample(), calm_bound).empty());
    EXPECT_TRUE(samples.play(disrupted, calm_bound * 4).empty());
    const span calm_from = calm_bound * 4 + interval;
    EXPECT_TRUE(samples.play(calm_sample(), calm_from + calm_bound).empty());
    EXPECT_EQ(
        samples.play(calm_sample(), calm_from + calm_bound + interval).size(),
        1);
}

TEST(idle_checks, an_idle_job_at_the_end_need_not_have_calm_time_before)
{
    player samples;
    EXPECT_TRUE(samples.play(finished_sample(), bounds.m_idle).empty());
    EXPECT_EQ(samples.play(finished_sample(), bounds.m_idle + interval).size(),
              1);
}

TEST(idle_checks, a_job_may_be_idle_between_disruptions_before_the_end)
{
    player samples;
    deployment_sample sample = finished_sample();
    sample.m_finished = false;
    EXPECT_TRUE(samples.play(sample, bounds.m_idle * 4).empty());
}

TEST(idle_checks, at_the_end_under_half_of_the_pool_must_be_in_use)
{
    player samples;
    deployment_sample sample = finished_sample();
    sample.m_workers[0].m_free.m_gpus = worker_gpus / 2;
    EXPECT_TRUE(samples.play(sample, bounds.m_idle * 4).empty());
    sample.m_workers[0].m_free.m_gpus = worker_gpus / 2 + 1;
    EXPECT_EQ(samples.play(sample, bounds.m_idle * 6).size(), 1);
}

TEST(idle_checks, under_half_must_be_in_use_all_the_while)
{
    player samples;
    deployment_sample fuller = finished_sample();
    fuller.m_workers[0].m_free.m_gpus = worker_gpus / 2;
    for (int round = 0; round < 4; ++round)
    {
        const span begin = (bounds.m_idle + interval * 2) * round;
        EXPECT_TRUE(
            samples.play(finished_sample(), begin + bounds.m_idle).empty());
        EXPECT_TRUE(
            samples.play(fuller, begin + bounds.m_idle + interval).empty());
    }
}

TEST(idle_checks, a_job_with_any_task_on_a_worker_is_not_idle)
{
    player samples;
    deployment_sample sample = calm_sample();
    sample.m_present = {{"w", "j.0.2.7"}};
    EXPECT_TRUE(samples.play(sample, calm_bound * 3).empty());
    sample.m_present = {{"w", "other.0.0.0"}};
    EXPECT_EQ(samples.play(sample, calm_bound * 6).size(), 1);
}

TEST(idle_checks, a_job_without_a_task_whose_turn_has_come_is_not_idle)
{
    player samples;
    deployment_sample sample = calm_sample();
    sample.m_waiting.clear();
    EXPECT_TRUE(samples.play(sample, calm_bound * 3).empty());
}

TEST(idle_checks, a_job_may_wait_without_room_for_two_of_its_task)
{
    player samples;
    deployment_sample sample = calm_sample();
    sample.m_workers = {make_worker("w", 1)};
    EXPECT_TRUE(samples.play(sample, calm_bound * 3).empty());
    sample.m_workers.push_back(make_worker("v", 1));
    EXPECT_EQ(samples.play(sample, calm_bound * 6).size(), 1);
}

TEST(idle_checks, room_for_a_moment_only_breaks_no_promise)
{
    player samples;
    deployment_sample full = calm_sample();
    full.m_workers[0].m_free.m_gpus = 1;
    EXPECT_TRUE(samples.play(full, calm_bound).empty());
    for (int round = 0; round < 4; ++round)
    {
        const span begin =
            calm_bound + interval + (bounds.m_idle + interval * 2) * round;
        EXPECT_TRUE(samples.play(calm_sample(), begin + bounds.m_idle).empty());
        EXPECT_TRUE(
            samples.play(full, begin + bounds.m_idle + interval).empty());
    }
}

TEST(idle_checks, a_gang_needs_room_for_all_of_its_tasks_twice)
{
    waiting_task gang = make_task();
    gang.m_name = "j.0.0";
    gang.m_tasks = 3;
    player samples;
    deployment_sample sample = calm_sample(gang);
    sample.m_workers = {make_worker("w", 3), make_worker("v", 2)};
    EXPECT_TRUE(samples.play(sample, calm_bound * 3).empty());
    sample.m_workers[1].m_free.m_gpus = 3;
    EXPECT_EQ(samples.play(sample, calm_bound * 6).size(), 1);
}

TEST(idle_checks, a_persistent_task_counts_while_others_of_its_job_run)
{
    player samples;
    deployment_sample sample = calm_sample(make_persistent_task());
    sample.m_present = {{"w", "j.0.0.1"}};
    EXPECT_TRUE(samples.play(sample, calm_bound).empty());
    const auto found = samples.play(sample, calm_bound * 3);
    ASSERT_EQ(found.size(), 1);
    EXPECT_EQ(found[0], "LOST: task j.0.0.0 does not run for 3100 ms, and "
                        "there is room for two of j.0.0.0");
}

TEST(idle_checks, a_persistent_task_counts_from_the_bound_after_its_last_run)
{
    player samples;
    deployment_sample sample = calm_sample(make_persistent_task());
    sample.m_present = {{"w", "j.0.0.0"}};
    EXPECT_TRUE(samples.play(sample, calm_bound * 2).empty());
    sample.m_present.clear();
    const span bound = calm_bound * 2 + bounds.m_restart + bounds.m_idle;
    EXPECT_TRUE(samples.play(sample, bound).empty());
    EXPECT_EQ(samples.play(sample, bound + interval).size(), 1);
}

TEST(idle_checks, each_idle_persistent_task_gives_a_message)
{
    player samples;
    deployment_sample sample = calm_sample(make_persistent_task());
    sample.m_waiting.push_back(make_persistent_task());
    sample.m_waiting[1].m_name = "j.0.0.1";
    EXPECT_EQ(samples.play(sample, calm_bound * 3).size(), 2);
}

TEST(idle_checks, several_waiting_tasks_of_an_idle_job_give_one_message)
{
    player samples;
    deployment_sample sample = calm_sample();
    sample.m_waiting.push_back(make_task());
    sample.m_waiting[1].m_name = "j.0.1.0";
    EXPECT_EQ(samples.play(sample, calm_bound * 3).size(), 1);
}

TEST(idle_checks, a_job_that_is_idle_again_gives_another_message)
{
    player samples;
    deployment_sample runs = calm_sample();
    runs.m_present = {{"w", "j.0.0.0"}};
    EXPECT_EQ(samples.play(calm_sample(), calm_bound * 2).size(), 1);
    EXPECT_TRUE(samples.play(runs, calm_bound * 3).empty());
    EXPECT_EQ(samples.play(calm_sample(), calm_bound * 5).size(), 1);
}

TEST(idle_checks, a_gap_between_samples_does_not_count_as_idle)
{
    player samples;
    EXPECT_TRUE(samples.play(calm_sample(), calm_bound).empty());
    const span resumed = calm_bound + bounds.m_max_sample_gap + interval;
    samples.skip_to(resumed);
    EXPECT_TRUE(samples.play(calm_sample(), resumed + bounds.m_idle).empty());
    EXPECT_EQ(
        samples.play(calm_sample(), resumed + bounds.m_idle + interval).size(),
        1);
}

TEST(idle_checks, samples_at_the_largest_gap_show_an_idle_job)
{
    player samples;
    EXPECT_TRUE(samples.play(calm_sample(), calm_bound).empty());
    const span next = calm_bound + bounds.m_max_sample_gap;
    samples.skip_to(next);
    EXPECT_EQ(samples.play(calm_sample(), next).size(), 1);
}

} // namespace kingcuprudder::soak
