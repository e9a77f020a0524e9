#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

/// Persistent tasks whose best workers are lost or used by others.
class persistent_placement_test : public dispatcher_fixture
{
protected:
    /// A persistent task is down for less than 6 s, of which the detection of
    /// the loss takes a part.
    static constexpr span max_wait = span(3000);
    static constexpr span lease_margin = span(2000);
    static constexpr span planning_interval = span(100);

    void add_worker_in(const std::string& rack, const std::string& id)
    {
        worker_description added = worker(id);
        added.m_rack = rack;
        m_dispatcher.worker_listed(added, m_now);
        report(id, {});
    }

    static job_submission persistent(const std::string& id, int tasks, int gpus)
    {
        job_submission made = job(id, tasks, gpus);
        made.m_steps[0].m_persistent = true;
        return made;
    }

    static job_submission serving(const std::string& id)
    {
        job_submission made = persistent(id, 1, 1);
        made.m_steps[0].m_target_latency = span(200);
        return made;
    }

    static job_submission filling(const std::string& id, bool is_persistent)
    {
        job_submission made = job(id, 1, 0);
        made.m_steps[0].m_uses_idle_cpu = true;
        made.m_steps[0].m_persistent = is_persistent;
        return made;
    }

    static job_submission one_rack_gang(const std::string& id, int tasks)
    {
        job_submission made = persistent(id, tasks, 8);
        made.m_steps[0].m_gang = true;
        made.m_steps[0].m_same_rack = true;
        made.m_steps[0].m_estimate = span(60'000);
        return made;
    }

    /// The worker, which stays in the list, is silent until its lease is over.
    void lose(const std::string& id)
    {
        m_dispatcher.renewal_failed(id, order_outcome::may_have_arrived, m_now);
        pass(dispatch_limits().m_worker_lease + lease_margin);
    }

    /// Plans until something is started, or for the given time.
    std::vector<start_order> start_within(span time)
    {
        const instant until = m_now + time;
        std::vector<start_order> starts = start_all();
        while (starts.empty() && m_now < until)
        {
            pass(planning_interval);
            starts = start_all();
        }
        return starts;
    }

    /// Submits the job and confirms its starts.
    std::vector<start_order> run(const job_submission& submission)
    {
        accept(submission);
        const std::vector<start_order> starts = start_within(max_wait);
        confirm(starts);
        return starts;
    }
};

TEST_F(persistent_placement_test, a_lost_data_rack_stops_no_persistent_task)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-2", "w2");
    job_submission lasting = persistent("l", 1, 1);
    lasting.m_steps[0].m_data_rack = "rack-1";
    const auto first = run(lasting);
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].m_worker, "w1");
    lose("w1");
    const auto again = start_within(max_wait);
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].m_worker, "w2");
}

TEST_F(persistent_placement_test, a_full_data_rack_stops_no_persistent_task)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-2", "w2");
    ASSERT_EQ(run(persistent("other", 1, 8)).size(), 1u);
    job_submission lasting = persistent("l", 1, 1);
    lasting.m_steps[0].m_data_rack = "rack-1";
    EXPECT_EQ(run(lasting).size(), 1u);
}

TEST_F(persistent_placement_test, a_task_does_not_wait_for_a_rack_of_no_worker)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-2", "w2");
    lose("w1");
    job_submission near = job("j", 1, 1);
    near.m_steps[0].m_data_rack = "rack-1";
    accept(near);
    EXPECT_EQ(start_all().size(), 1u);
}

TEST_F(persistent_placement_test, a_task_does_not_wait_long_for_a_silent_rack)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-2", "w2");
    m_dispatcher.renewal_failed("w1", order_outcome::may_have_arrived, m_now);
    job_submission near = job("j", 1, 1);
    near.m_steps[0].m_data_rack = "rack-1";
    near.m_steps[0].m_estimate = span(60'000);
    accept(near);
    EXPECT_TRUE(start_all().empty());
    EXPECT_EQ(start_within(span(6000)).size(), 1u);
}

TEST_F(persistent_placement_test, a_task_waits_for_a_busy_worker_near_its_data)
{
    add_worker_in("rack-1", "w1");
    ASSERT_EQ(run(job("b", 1, 8)).size(), 1u);
    add_worker_in("rack-2", "w2");
    job_submission near = job("j", 1, 1);
    near.m_steps[0].m_data_rack = "rack-1";
    near.m_steps[0].m_estimate = span(60'000);
    accept(near);
    EXPECT_TRUE(start_within(span(6000)).empty());
}

// Runs in other racks were stopped for a task that did not take their place.
TEST_F(persistent_placement_test, no_run_is_stopped_outside_the_rack_waited_for)
{
    add_worker_in("rack-1", "w1");
    ASSERT_EQ(run(persistent("other", 1, 8)).size(), 1u);
    add_worker_in("rack-2", "w2");
    ASSERT_EQ(run(job("b", 1, 8)).size(), 1u);
    job_submission urgent = job("u", 1, 1, "urgent");
    urgent.m_steps[0].m_data_rack = "rack-1";
    urgent.m_steps[0].m_estimate = span(60'000);
    accept(urgent);
    EXPECT_TRUE(step().m_stops.empty());
}

TEST_F(persistent_placement_test, tasks_that_fill_keep_out_no_serving_task)
{
    add_worker("w1");
    add_worker("w2");
    const auto served = run(serving("s"));
    ASSERT_EQ(served.size(), 1u);
    ASSERT_EQ(run(filling("f", true)).size(), 1u);
    lose(served[0].m_worker);
    EXPECT_EQ(start_within(max_wait).size(), 1u);
}

TEST_F(persistent_placement_test, a_filling_task_runs_beside_serving_tasks)
{
    add_worker("w1");
    ASSERT_EQ(run(serving("s")).size(), 1u);
    EXPECT_EQ(run(filling("f", true)).size(), 1u);
}

// Serving beside tasks that fill breaks HARM, so those that end make way.
TEST_F(persistent_placement_test, a_filling_task_that_ends_makes_way)
{
    add_worker("w1");
    ASSERT_EQ(run(filling("f", false)).size(), 1u);
    accept(serving("s"));
    EXPECT_EQ(step().m_stops.size(), 1u);
}

TEST_F(persistent_placement_test, a_persistent_filling_task_moves_apart)
{
    add_worker("w1");
    const auto filled = run(filling("f", true));
    ASSERT_EQ(filled.size(), 1u);
    worker_description other = worker("w2");
    other.m_labels = {};
    m_dispatcher.worker_listed(other, m_now);
    report("w2", {});
    job_submission labelled = serving("s");
    labelled.m_steps[0].m_required_label = "a";
    accept(labelled);
    ASSERT_EQ(step().m_stops.size(), 1u);
    report("w1", {}, {ended(1, filled[0], run_outcome::stopped)});
    const auto starts = start_within(max_wait);
    ASSERT_EQ(starts.size(), 2u);
    EXPECT_NE(starts[0].m_worker, starts[1].m_worker);
}

TEST_F(persistent_placement_test, a_filling_task_without_another_place_stays)
{
    add_worker("w1");
    ASSERT_EQ(run(filling("f", true)).size(), 1u);
    accept(serving("s"));
    EXPECT_TRUE(step().m_stops.empty());
    EXPECT_TRUE(start_within(span(1000)).empty());
    EXPECT_EQ(start_within(max_wait).size(), 1u);
    EXPECT_TRUE(step().m_stops.empty());
}

TEST_F(persistent_placement_test, an_overdue_task_prefers_a_worker_apart)
{
    add_worker("w1");
    ASSERT_EQ(run(filling("f", true)).size(), 1u);
    accept(serving("s"));
    EXPECT_TRUE(start_all().empty());
    add_worker("w2");
    pass(max_wait);
    const auto starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].m_worker, "w2");
}

TEST_F(persistent_placement_test, racks_in_use_stop_no_persistent_gang)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-1", "w2");
    add_worker_in("rack-2", "w3");
    add_worker_in("rack-2", "w4");
    add_worker_in("rack-3", "w5");
    add_worker_in("rack-3", "w6");
    for (const std::string rack : {"rack-2", "rack-3"})
    {
        job_submission other = persistent("other-" + rack, 1, 8);
        other.m_steps[0].m_data_rack = rack;
        ASSERT_EQ(run(other).size(), 1u);
    }
    const auto first = run(one_rack_gang("g", 2));
    ASSERT_EQ(first.size(), 2u);
    EXPECT_EQ(first[0].m_worker, "w1");
    EXPECT_EQ(first[1].m_worker, "w2");
    lose("w1");
    start_all();
    report("w2", {}, {ended(1, first[1], run_outcome::stopped)});
    EXPECT_EQ(start_within(max_wait).size(), 2u);
}

TEST_F(persistent_placement_test, racks_of_busy_workers_stop_no_persistent_gang)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-1", "w2");
    ASSERT_EQ(run(job("u", 1, 8, "urgent")).size(), 1u);
    add_worker_in("rack-2", "w3");
    EXPECT_EQ(run(one_rack_gang("g", 2)).size(), 2u);
}

TEST_F(persistent_placement_test, a_gang_does_not_wait_for_persistent_tasks)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-1", "w2");
    ASSERT_EQ(run(persistent("other", 1, 8)).size(), 1u);
    add_worker_in("rack-2", "w3");
    job_submission gang = one_rack_gang("g", 2);
    gang.m_steps[0].m_persistent = false;
    accept(gang);
    EXPECT_EQ(start_all().size(), 2u);
}

TEST_F(persistent_placement_test, a_gang_does_not_wait_for_racks_without_label)
{
    add_worker_in("rack-1", "w1");
    add_worker_in("rack-1", "w2");
    for (const std::string id : {"w3", "w4"})
    {
        worker_description labelled = worker(id);
        labelled.m_rack = "rack-of-" + id;
        labelled.m_labels = {"special"};
        m_dispatcher.worker_listed(labelled, m_now);
        report(id, {});
    }
    job_submission gang = one_rack_gang("g", 2);
    gang.m_steps[0].m_persistent = false;
    gang.m_steps[0].m_required_label = "special";
    accept(gang);
    EXPECT_EQ(start_all().size(), 2u);
}

TEST_F(persistent_placement_test, an_overdue_gang_prefers_one_rack)
{
    constexpr std::int64_t half_of_cpu = 32'000;
    const auto add_sized = [this](const std::string& rack,
                                  const std::string& id, resources capacity)
    {
        worker_description added = worker(id);
        added.m_rack = rack;
        added.m_capacity = capacity;
        m_dispatcher.worker_listed(added, m_now);
        report(id, {});
    };
    const std::vector<std::string> small = {"w1", "w2", "w3"};
    for (const std::string& id : small)
    {
        add_sized("rack-1", id, {half_of_cpu, 256'000, 8});
    }
    job_submission urgent = job("u", 3, 1, "urgent");
    urgent.m_steps[0].m_demand.m_cpu_millis = half_of_cpu;
    const auto held = run(urgent);
    ASSERT_EQ(held.size(), 3u);
    job_submission gang = one_rack_gang("g", 3);
    gang.m_steps[0].m_demand = {half_of_cpu, 1000, 1};
    EXPECT_TRUE(run(gang).empty());
    for (const start_order& order : held)
    {
        report(order.m_worker, {}, {ended(1, order, run_outcome::done)});
    }
    // Two of these hold the gang, but in two racks.
    add_sized("rack-2", "w4", {2 * half_of_cpu, 256'000, 2});
    add_sized("rack-3", "w5", {2 * half_of_cpu, 256'000, 2});
    const auto starts = start_all();
    ASSERT_EQ(starts.size(), 3u);
    for (const start_order& order : starts)
    {
        EXPECT_LE(order.m_worker, "w3");
    }
}

// Room on a worker that has its share of the tasks was taken for a place.
TEST_F(persistent_placement_test, a_limit_for_one_worker_hinders_no_preemption)
{
    add_worker("w1");
    add_worker("w2");
    ASSERT_EQ(run(job("b", 1, 8)).size(), 1u);
    job_submission spread = persistent("l", 2, 1);
    spread.m_steps[0].m_max_per_worker = 1;
    pass(span(5000)); // The preemption loses work.
    accept(spread);
    EXPECT_EQ(step().m_stops.size(), 1u);
}

} // namespace kingcuprudder::dispatch
