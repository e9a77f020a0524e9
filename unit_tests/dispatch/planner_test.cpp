#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

// A member that starts alone holds its accelerators idle until it times out.
TEST_F(dispatcher_fixture, a_gang_starts_when_all_members_fit)
{
    add_worker("w1");
    accept(job("small", 1, 4));
    const auto small = start_all();
    confirm(small);
    job_submission gang = job("gang", 2, 4);
    gang.m_steps[0].m_gang = true;
    accept(gang);
    EXPECT_TRUE(start_all().empty());
    report("w1", {}, {ended(1, small[0], run_outcome::done)});
    const auto starts = start_all();
    ASSERT_EQ(starts.size(), 2u);
    EXPECT_EQ(starts[0].m_run.m_run, starts[1].m_run.m_run);
}

TEST_F(dispatcher_fixture, a_draining_worker_gets_nothing)
{
    add_worker("w1");
    worker_description draining = worker("w1");
    draining.m_draining = true;
    m_dispatcher.worker_listed(draining, m_now);
    accept(job("j", 1, 1));
    EXPECT_TRUE(start_all().empty());
}

// A run that is being stopped still uses its resources, and the workers do not
// check their capacity.
TEST_F(dispatcher_fixture, a_start_waits_until_the_stopped_run_has_ended)
{
    add_worker("w1");
    job_submission background = job("b", 1, 8);
    background.m_steps[0].m_writes_checkpoints = true;
    accept(background);
    const auto held = start_all();
    confirm(held);
    accept(job("u", 1, 8, "urgent"));
    const dispatch_effects effects = step();
    ASSERT_EQ(effects.m_stops.size(), 1u);
    store();
    EXPECT_TRUE(step().m_starts.empty());
    report("w1", {}, {ended(1, held[0], run_outcome::stopped)});
    const auto starts = step().m_starts;
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].m_run.m_task.m_job, "u");
}

// Under high load, preemption lost more work than the urgent jobs contained.
TEST_F(dispatcher_fixture, more_work_than_the_urgent_job_holds_is_not_lost)
{
    m_configuration.m_accounts[0].m_guaranteed_gpus = 0;
    m_dispatcher.configure(m_configuration);
    add_worker("w1");
    accept(job("b", 1, 8));
    confirm(start_all());
    pass(span(60'000));
    accept(job("u", 1, 1, "urgent"));
    EXPECT_TRUE(step().m_stops.empty());
}

// Runs that were placed on capacity that urgent jobs had just freed were
// preempted for the next urgent jobs and lost their work (scale-1 of the grown
// deployments).
TEST_F(dispatcher_fixture, capacity_freed_by_urgent_jobs_is_kept_for_the_next)
{
    constexpr int many = 20;
    for (int index = 0; index < many; ++index)
    {
        add_worker("w" + std::to_string(index));
        accept(job("u" + std::to_string(index), 1, 8, "urgent"));
    }
    const auto urgent = start_all();
    ASSERT_EQ(urgent.size(), static_cast<std::size_t>(many));
    confirm(urgent);
    for (int seconds = 0; seconds < 4; ++seconds)
    {
        pass(span(1000));
        start_all();
    }
    accept(job("b", 1, 8));
    const auto end = [&](int index)
    {
        const start_order& ended_run = urgent[static_cast<std::size_t>(index)];
        report(ended_run.m_worker, {},
               {ended(1, ended_run, run_outcome::done)});
    };
    end(0);
    EXPECT_TRUE(start_all().empty());
    for (int index = 1; index < many; ++index)
    {
        end(index);
    }
    // Without urgent jobs the headroom shrinks within seconds.
    pass(span(3000));
    EXPECT_EQ(start_all().size(), 1u);
}

// A pool without a usable worker crashed the leader's process.
TEST_F(dispatcher_fixture, planning_continues_when_a_pool_has_no_worker)
{
    add_worker("w1");
    accept(job("u", 1, 1, "urgent"));
    confirm(start_all());
    accept(job("b", 1, 1));
    m_dispatcher.renewal_failed("w1", order_outcome::may_have_arrived, m_now);
    EXPECT_TRUE(start_all().empty());
}

// The guarantee of an account holds however much work the preemption loses.
TEST_F(dispatcher_fixture, a_guaranteed_job_preempts_before_its_bound)
{
    add_worker("w1");
    accept(job("b", 1, 8));
    confirm(start_all());
    pass(span(60'000));
    accept(job("u", 1, 1, "urgent"));
    span waited;
    while (step().m_stops.empty() && waited < dispatch_limits().m_reclaim_bound)
    {
        pass(span(50));
        waited = waited + span(50);
    }
    EXPECT_LE(waited, dispatch_limits().m_reclaim_bound - span(1000));
}

TEST_F(dispatcher_fixture, a_step_waits_for_the_steps_before_it)
{
    add_worker("w1");
    job_submission two = job("j", 1, 1);
    two.m_steps.push_back(two.m_steps[0]);
    two.m_steps[1].m_depends_on = {0};
    accept(two);
    const auto first = start_all();
    ASSERT_EQ(first.size(), 1u);
    confirm(first);
    report("w1", {}, {ended(1, first[0], run_outcome::done)});
    const auto second = start_all();
    ASSERT_EQ(second.size(), 1u);
    EXPECT_EQ(second[0].m_run.m_task.m_step, 1);
}

TEST_F(dispatcher_fixture, a_repetition_starts_when_it_is_due)
{
    add_worker("w1");
    job_submission repeated = job("j", 1, 1);
    repeated.m_repeats = 2;
    repeated.m_first_due = m_now + span(1000);
    repeated.m_interval = span(2000);
    accept(repeated);
    EXPECT_TRUE(start_all().empty());
    pass(span(1000));
    ASSERT_EQ(start_all().size(), 1u);
    pass(span(2000));
    const auto second = start_all();
    ASSERT_EQ(second.size(), 1u);
    EXPECT_EQ(second[0].m_run.m_task.m_repeat, 1);
}

// A repetition that was due long after the acceptance of its job counted as
// expired, so all other jobs were placed before it.
TEST_F(dispatcher_fixture, a_late_repetition_is_measured_from_its_due_time)
{
    add_worker("w1");
    job_submission repeated = job("z", 1, 8);
    repeated.m_repeats = 2;
    repeated.m_first_due = m_now;
    repeated.m_interval = span(100'000);
    accept(repeated);
    const auto first = start_all();
    confirm(first);
    report("w1", {}, {ended(1, first[0], run_outcome::done)});
    pass(span(100'000 - 4000));
    accept(job("b", 1, 8));
    accept(job("c", 1, 8));
    const auto other = start_all();
    confirm(other);
    pass(span(4000));
    report("w1", {}, {ended(2, other[0], run_outcome::done)});
    pass(span(8000)); // Now "c" would end late.
    const auto next = start_all();
    ASSERT_EQ(next.size(), 1u);
    EXPECT_EQ(next[0].m_run.m_task.m_job, "z");
}

// A persistent task must restart within seconds even in a full pool; it used to
// wait behind other jobs.
TEST_F(dispatcher_fixture, a_persistent_task_restarts_on_a_full_pool)
{
    add_worker("w1");
    job_submission persistent = job("l", 1, 4);
    persistent.m_steps[0].m_persistent = true;
    accept(persistent);
    const auto first = start_all();
    ASSERT_EQ(first.size(), 1u);
    confirm(first);
    accept(job("b", 1, 4));
    const auto filler = start_all();
    confirm(filler);
    accept(job("c", 1, 4));
    pass(span(30'000));
    report("w1", {running(filler[0])},
           {ended(1, first[0], run_outcome::failed)});
    const auto again = start_all();
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].m_run.m_task.m_job, "l");
    confirm(again);

    report("w1", {}, {ended(2, filler[0], run_outcome::done)});
    const auto held = start_all(); // "c" takes the other half.
    ASSERT_EQ(held.size(), 1u);
    confirm(held);
    accept(job("d", 1, 8));
    add_worker("w2");
    const auto wide = start_all();
    ASSERT_EQ(wide.size(), 1u);
    confirm(wide);
    pass(span(1));
    report("w1", {}, {}, 200); // Restarted with nothing running.
    pass(span(100));
    m_dispatcher.worker_unlisted("w1", m_now);
    EXPECT_EQ(step().m_stops.size(), 1u) << "no run on w2 was preempted";
}

// Tasks that use idle CPU increase the latency of tasks that serve requests on
// the same worker.
TEST_F(dispatcher_fixture, tasks_on_idle_cpu_stay_away_from_serving_tasks)
{
    add_worker("w1");
    add_worker("w2");
    job_submission serving = job("s", 1, 1);
    serving.m_steps[0].m_persistent = true;
    serving.m_steps[0].m_target_latency = span(50);
    accept(serving);
    const auto served = start_all();
    ASSERT_EQ(served.size(), 1u);
    job_submission filling = job("f", 1, 1);
    filling.m_steps[0].m_uses_idle_cpu = true;
    accept(filling);
    const auto filled = start_all();
    ASSERT_EQ(filled.size(), 1u);
    EXPECT_NE(filled[0].m_worker, served[0].m_worker);
    accept(
        []
        {
            job_submission more = job("t", 2, 4);
            more.m_steps[0].m_target_latency = span(50);
            return more;
        }());
    for (const start_order& order : start_all())
    {
        EXPECT_EQ(order.m_worker, served[0].m_worker);
    }
}

// Tasks that use idle CPU must not reduce the cores available to other tasks.
TEST_F(dispatcher_fixture, tasks_on_idle_cpu_reserve_no_cores)
{
    add_worker("w1");
    job_submission filling = job("f", 1, 0);
    filling.m_steps[0].m_uses_idle_cpu = true;
    filling.m_steps[0].m_demand.m_cpu_millis = 64'000;
    accept(filling);
    ASSERT_EQ(start_all().size(), 1u);
    job_submission other = job("o", 1, 0);
    other.m_steps[0].m_demand.m_cpu_millis = 64'000;
    accept(other);
    EXPECT_EQ(start_all().size(), 1u);
}

TEST_F(dispatcher_fixture, the_limit_for_one_worker_holds)
{
    add_worker("w1");
    add_worker("w2");
    job_submission spread = job("j", 3, 1);
    spread.m_steps[0].m_max_per_worker = 1;
    accept(spread);
    const auto starts = start_all();
    ASSERT_EQ(starts.size(), 2u);
    EXPECT_NE(starts[0].m_worker, starts[1].m_worker);
}

TEST_F(dispatcher_fixture, a_required_label_holds)
{
    add_worker("w1");
    job_submission labelled = job("j", 1, 1);
    labelled.m_steps[0].m_required_label = "b";
    accept(labelled);
    EXPECT_TRUE(start_all().empty());
}

} // namespace kingcuprudder::dispatch
