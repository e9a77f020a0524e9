#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

/// Workers whose capacity changes while they run.
class shrunken_worker_fixture : public dispatcher_fixture
{
protected:
    void set_capacity(const std::string& id, const resources& capacity)
    {
        worker_description changed = worker(id);
        changed.m_capacity = capacity;
        m_dispatcher.worker_listed(changed, m_now);
    }

    /// Starts a task on a worker whose cores then shrink below the task's.
    /// Returns the worker.
    std::string run_on_shrunken_worker()
    {
        job_submission busy = job("busy", 1, 1);
        busy.m_steps[0].m_demand.m_cpu_millis = 48'000;
        accept(busy);
        const std::vector<start_order> starts = start_all();
        EXPECT_EQ(starts.size(), 1u);
        set_capacity(starts.at(0).m_worker, {32'000, 256'000, 8});
        return starts.at(0).m_worker;
    }

    static job_submission best_effort(const std::string& id, int tasks,
                                      const std::string& queue_name = "normal")
    {
        job_submission made = job(id, tasks, 1, queue_name);
        made.m_steps[0].m_uses_idle_cpu = true;
        return made;
    }
};

TEST_F(shrunken_worker_fixture, a_shrunken_worker_gets_no_start_over_its_room)
{
    add_worker("w1");
    accept(job("running", 2, 2));
    ASSERT_EQ(start_all().size(), 2u);
    set_capacity("w1", {64'000, 256'000, 5});
    accept(job("wide", 1, 2));
    accept(job("narrow", 1, 1));
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].m_run.m_task.m_job, "narrow");
}

TEST_F(shrunken_worker_fixture, a_worker_over_its_room_gets_no_start)
{
    add_worker("w1");
    accept(job("running", 2, 4));
    ASSERT_EQ(start_all().size(), 2u);
    set_capacity("w1", {1000, 1500, 3});
    accept(job("small", 1, 0));
    accept(job("urgent", 1, 1, "urgent"));
    for (int round = 0; round < 4; ++round)
    {
        EXPECT_TRUE(start_all().empty());
        pass(span(300));
    }
}

TEST_F(shrunken_worker_fixture, room_that_grows_back_is_used)
{
    add_worker("w1");
    set_capacity("w1", {64'000, 256'000, 2});
    accept(job("waiting", 1, 8));
    EXPECT_TRUE(start_all().empty());
    set_capacity("w1", {64'000, 256'000, 8});
    EXPECT_TRUE(m_dispatcher.has_changed_since_planning());
    EXPECT_EQ(start_all().size(), 1u);
}

TEST_F(shrunken_worker_fixture, a_start_assigned_before_the_shrink_is_not_sent)
{
    add_worker("w1");
    accept(job("waiting", 1, 8));
    EXPECT_TRUE(step().m_starts.empty());
    set_capacity("w1", {64'000, 256'000, 4});
    store();
    EXPECT_TRUE(step().m_starts.empty());
    pass(span(2000));
    EXPECT_TRUE(start_all().empty());
    add_worker("w2");
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].m_worker, "w2");
}

TEST_F(shrunken_worker_fixture, a_gang_assigned_before_the_shrink_is_not_sent)
{
    add_worker("w1");
    add_worker("w2");
    job_submission gang = job("gang", 2, 8);
    gang.m_steps[0].m_gang = true;
    accept(gang);
    EXPECT_TRUE(step().m_starts.empty());
    set_capacity("w2", {64'000, 256'000, 4});
    store();
    EXPECT_TRUE(step().m_starts.empty());
    add_worker("w3");
    pass(span(2000));
    EXPECT_EQ(start_all().size(), 2u);
}

TEST_F(shrunken_worker_fixture, an_urgent_task_preempts_on_a_shrunken_worker)
{
    add_worker("w1");
    accept(job("running", 4, 2));
    const std::vector<start_order> running = start_all();
    ASSERT_EQ(running.size(), 4u);
    confirm(running);
    set_capacity("w1", {64'000, 256'000, 4});
    accept(job("urgent", 1, 4, "urgent"));
    pass(span(1500));
    EXPECT_EQ(step().m_stops.size(), 4u);
}

TEST_F(shrunken_worker_fixture,
       a_best_effort_task_avoids_a_worker_without_cores)
{
    add_worker("w1");
    add_worker("w2");
    job_submission busy = job("busy", 1, 1);
    busy.m_steps[0].m_demand.m_cpu_millis = 48'000;
    accept(busy);
    const std::vector<start_order> first = start_all();
    ASSERT_EQ(first.size(), 1u);
    set_capacity(first[0].m_worker, {32'000, 256'000, 8});
    job_submission filling = job("filling", 1, 1);
    filling.m_steps[0].m_uses_idle_cpu = true;
    accept(filling);
    std::size_t started = 0;
    for (int round = 0; round < 20; ++round)
    {
        started += start_all().size();
        pass(span(500));
    }
    EXPECT_EQ(started, 1u);
}

TEST_F(shrunken_worker_fixture,
       a_best_effort_gang_avoids_a_worker_without_cores)
{
    add_worker("w1");
    add_worker("w2");
    job_submission busy = job("busy", 1, 1);
    busy.m_steps[0].m_demand.m_cpu_millis = 48'000;
    accept(busy);
    const std::vector<start_order> first = start_all();
    ASSERT_EQ(first.size(), 1u);
    set_capacity(first[0].m_worker, {32'000, 256'000, 8});
    job_submission filling = job("filling", 2, 1);
    filling.m_steps[0].m_uses_idle_cpu = true;
    filling.m_steps[0].m_gang = true;
    accept(filling);
    std::size_t started = 0;
    for (int round = 0; round < 20; ++round)
    {
        started += start_all().size();
        pass(span(500));
    }
    EXPECT_EQ(started, 2u);
}

// A worker without idle cores is the last choice, but no reason to wait.
TEST_F(shrunken_worker_fixture, a_best_effort_task_starts_where_cores_are_left)
{
    add_worker("w1");
    add_worker("w2");
    const std::string shrunken = run_on_shrunken_worker();
    accept(best_effort("filling", 1));
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_NE(starts[0].m_worker, shrunken);
}

TEST_F(shrunken_worker_fixture, a_best_effort_gang_starts_where_cores_are_left)
{
    add_worker("w1");
    add_worker("w2");
    const std::string shrunken = run_on_shrunken_worker();
    job_submission filling = best_effort("filling", 2);
    filling.m_steps[0].m_gang = true;
    accept(filling);
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 2u);
    EXPECT_NE(starts[0].m_worker, shrunken);
    EXPECT_NE(starts[1].m_worker, shrunken);
}

TEST_F(shrunken_worker_fixture, a_best_effort_task_starts_without_cores)
{
    add_worker("w1");
    run_on_shrunken_worker();
    accept(best_effort("filling", 1));
    EXPECT_EQ(start_all().size(), 1u);
}

TEST_F(shrunken_worker_fixture, a_best_effort_gang_starts_without_cores)
{
    add_worker("w1");
    run_on_shrunken_worker();
    job_submission filling = best_effort("filling", 2);
    filling.m_steps[0].m_gang = true;
    accept(filling);
    EXPECT_EQ(start_all().size(), 2u);
}

// The step's cores are not counted, its memory and GPUs are.
TEST_F(shrunken_worker_fixture, a_best_effort_task_stays_within_memory_and_gpus)
{
    add_worker("w1");
    run_on_shrunken_worker();
    job_submission wide = best_effort("wide", 1);
    wide.m_steps[0].m_demand.m_gpus = 8;
    accept(wide);
    job_submission large = best_effort("large", 1);
    large.m_steps[0].m_demand.m_memory_mb = 256'000;
    accept(large);
    for (int round = 0; round < 4; ++round)
    {
        EXPECT_TRUE(start_all().empty());
        pass(span(500));
    }
}

TEST_F(shrunken_worker_fixture, a_task_without_gpus_starts_without_free_gpus)
{
    add_worker("w1");
    accept(job("running", 2, 4));
    ASSERT_EQ(start_all().size(), 2u);
    set_capacity("w1", {64'000, 256'000, 6});
    accept(job("small", 1, 0));
    accept(job("narrow", 1, 1));
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].m_run.m_task.m_job, "small");
}

// Preempting for an amount that the task does not demand frees nothing for it.
TEST_F(shrunken_worker_fixture, nothing_is_preempted_for_cores_of_best_effort)
{
    add_worker("w1");
    job_submission busy = job("busy", 1, 1);
    busy.m_steps[0].m_demand.m_cpu_millis = 48'000;
    accept(busy);
    accept(job("small", 1, 2));
    const std::vector<start_order> running = start_all();
    ASSERT_EQ(running.size(), 2u);
    confirm(running);
    set_capacity("w1", {32'000, 256'000, 4});
    job_submission filling = best_effort("filling", 1, "urgent");
    filling.m_steps[0].m_demand.m_gpus = 3;
    accept(filling);
    pass(span(1500));
    const std::vector<stop_order> stops = step().m_stops;
    ASSERT_EQ(stops.size(), 1u);
    EXPECT_EQ(stops[0].m_run.m_task.m_job, "small");
}

} // namespace kingcuprudder::dispatch
