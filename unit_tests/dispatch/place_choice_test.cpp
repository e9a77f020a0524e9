#include "dispatcher_fixture.hpp"
#include <kingcuprudder/dispatch/capacity_forecast.hpp>

#include <set>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr double slowdown = 3;

std::int64_t whole_workers(const resources& free)
{
    return free.m_gpus / 8;
}

resources gpus(std::int64_t count)
{
    return {0, 0, count};
}

} // namespace

TEST(capacity_forecast, tasks_fit_when_the_last_run_in_their_way_has_ended)
{
    const worker_forecast busy = {
        span(0), gpus(2), {{span(5000), gpus(3)}, {span(900), gpus(3)}}};
    const worker_forecast idle = {span(0), gpus(8), {}};
    EXPECT_EQ(time_until_fit({idle, idle}, 2, whole_workers), span(0));
    EXPECT_EQ(time_until_fit({idle, busy}, 2, whole_workers), span(5000));
    EXPECT_EQ(time_until_fit({idle, busy}, 3, whole_workers), std::nullopt);
}

TEST(capacity_forecast, a_worker_that_is_not_usable_yet_holds_nothing)
{
    const worker_forecast later = {span(2000), gpus(4), {{span(10), gpus(4)}}};
    EXPECT_EQ(time_until_fit({later}, 1, whole_workers), span(2000));
}

TEST(capacity_forecast, a_run_over_its_expected_end_is_not_taken_to_end_at_once)
{
    EXPECT_EQ(expected_time_left(span(300), span(1000)), span(700));
    EXPECT_EQ(expected_time_left(span(4000), span(1000)), span(3000));
}

TEST(capacity_forecast, a_wait_that_forecasts_prolong_ends)
{
    const place_choice soon = {span(1900), span(0), span(1000), slowdown};
    EXPECT_TRUE(ends_sooner_after_wait(soon));
    place_choice long_wait = soon;
    long_wait.m_wait = span(2000);
    EXPECT_FALSE(ends_sooner_after_wait(long_wait));
    place_choice waited = soon;
    waited.m_waited = span(2000);
    EXPECT_FALSE(ends_sooner_after_wait(waited));
    place_choice never = soon;
    never.m_wait.reset();
    EXPECT_FALSE(ends_sooner_after_wait(never));
}

/// Workers in racks of two.
class place_choice_test : public dispatcher_fixture
{
protected:
    static constexpr span planning_interval = span(100);
    /// Rule LOST allows a job to have nothing running for 3 s.
    static constexpr span max_idle = span(3000);
    /// A task that uses all GPUs of a worker uses all its cores.
    static constexpr std::int64_t cpu_millis_per_gpu = 8000;

    void add_worker_in(const std::string& rack, const std::string& id)
    {
        worker_description added = worker(id);
        added.m_rack = rack;
        m_dispatcher.worker_listed(added, m_now);
        report(id, {});
    }

    void add_racks(int count)
    {
        for (int rack = 0; rack < count; ++rack)
        {
            const std::string name = "r" + std::to_string(rack);
            add_worker_in(name, name + "-w0");
            add_worker_in(name, name + "-w1");
        }
    }

    static job_submission one_rack_gang(const std::string& id, int tasks,
                                        span estimate)
    {
        job_submission made = job(id, tasks, 8);
        made.m_steps[0].m_gang = true;
        made.m_steps[0].m_same_rack = true;
        made.m_steps[0].m_estimate = estimate;
        return made;
    }

    /// Starts a task in the rack.
    start_order run_in(const std::string& rack, span estimate, int gpus = 1)
    {
        job_submission other =
            job("in-" + rack + "-" + std::to_string(++m_others), 1, gpus);
        other.m_steps[0].m_data_rack = rack;
        other.m_steps[0].m_demand.m_cpu_millis = cpu_millis_per_gpu * gpus;
        other.m_steps[0].m_estimate = estimate;
        accept(other);
        const auto starts = start_all();
        confirm(starts);
        EXPECT_EQ(starts.size(), 1u);
        return starts.at(0);
    }

    /// Plans until something is started, or for the given time. All workers
    /// answer meanwhile.
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

    static std::set<std::string>
    racks_of(const std::vector<start_order>& starts)
    {
        std::set<std::string> racks;
        for (const start_order& order : starts)
        {
            racks.insert(order.m_worker.substr(0, order.m_worker.find('-')));
        }
        return racks;
    }

    int m_others = 0;
};

// review/14: no rack is free for long, but the racks together are.
TEST_F(place_choice_test, a_gang_does_not_wait_until_it_is_late)
{
    for (const int racks : {2, 4, 7})
    {
        SCOPED_TRACE(racks);
        place_choice_test::m_dispatcher =
            dispatcher(dispatch_limits(), m_log.recorder());
        m_dispatcher.configure(m_configuration);
        m_dispatcher.begin_term(m_now, 1);
        add_racks(racks);
        for (int rack = 0; rack < racks; ++rack)
        {
            run_in("r" + std::to_string(rack), span(300'000));
        }
        accept(one_rack_gang("g", 2, span(20'000)));
        const auto starts = start_within(max_idle);
        EXPECT_EQ(starts.size(), 2u);
        EXPECT_EQ(racks_of(starts).size(), 2u);
    }
}

// Declared times may be too short by a factor.
TEST_F(place_choice_test, wrong_estimates_keep_no_gang_waiting_in_an_idle_pool)
{
    add_racks(5);
    for (const std::string rack : {"r0", "r1", "r2", "r3", "r4"})
    {
        run_in(rack, span(5000));
    }
    accept(one_rack_gang("g", 2, span(20'000)));
    EXPECT_EQ(start_within(max_idle).size(), 2u);
}

TEST_F(place_choice_test, a_late_gang_waits_for_a_rack_that_is_soon_free)
{
    add_racks(2);
    run_in("r0", span(300'000), 8);
    const start_order soon_over = run_in("r1", span(2000), 8);
    job_submission late = one_rack_gang("g", 2, span(20'000));
    late.m_accepted_at = m_now - span(100'000);
    m_dispatcher.add_job(late, std::nullopt, 1, m_now, m_now);
    EXPECT_TRUE(start_within(span(1500)).empty());
    report(soon_over.m_worker, {}, {ended(1, soon_over, run_outcome::done)});
    const auto starts = start_all();
    ASSERT_EQ(starts.size(), 2u);
    EXPECT_EQ(racks_of(starts), std::set<std::string>{"r1"});
}

// Across racks it would use the workers three times as long.
TEST_F(place_choice_test, a_gang_in_a_busy_pool_waits_for_a_rack)
{
    add_racks(3);
    run_in("r0", span(30'000), 8);
    run_in("r1", span(30'000), 8);
    run_in("r2", span(30'000), 8);
    accept(one_rack_gang("g", 2, span(20'000)));
    EXPECT_TRUE(start_within(span(10'000)).empty());
}

TEST_F(place_choice_test, a_gang_in_a_busy_pool_does_not_wait_without_end)
{
    add_racks(3);
    run_in("r0", span(30'000), 8);
    run_in("r1", span(30'000), 8);
    run_in("r2", span(30'000), 8);
    accept(one_rack_gang("g", 2, span(20'000)));
    EXPECT_EQ(start_within(span(41'000)).size(), 2u);
}

TEST_F(place_choice_test, a_gang_spans_racks_if_no_rack_is_free_in_time)
{
    add_racks(3);
    run_in("r0", span(50'000), 8);
    run_in("r1", span(50'000), 8);
    run_in("r2", span(50'000), 8);
    accept(one_rack_gang("g", 2, span(20'000)));
    EXPECT_EQ(start_all().size(), 2u);
}

TEST_F(place_choice_test, a_gang_takes_one_rack_though_fewer_workers_span_two)
{
    add_racks(2);
    add_worker_in("r0", "r0-w2");
    worker_description large = worker("r2-w0", 16);
    large.m_rack = "r2";
    m_dispatcher.worker_listed(large, m_now);
    report("r2-w0", {});
    accept(one_rack_gang("g", 3, span(1000)));
    pass(span(60'000)); // The gang is late.
    const auto starts = start_all();
    ASSERT_EQ(starts.size(), 3u);
    EXPECT_EQ(racks_of(starts), std::set<std::string>{"r0"});
}

TEST_F(place_choice_test, a_task_does_not_wait_for_long_runs_near_its_data)
{
    add_racks(2);
    run_in("r0", span(300'000), 8);
    run_in("r0", span(300'000), 8);
    job_submission near = job("j", 1, 1);
    near.m_steps[0].m_data_rack = "r0";
    near.m_steps[0].m_estimate = span(20'000);
    accept(near);
    EXPECT_EQ(start_within(max_idle).size(), 1u);
}

TEST_F(place_choice_test,
       a_task_does_not_wait_for_persistent_ones_near_its_data)
{
    add_racks(2);
    job_submission lasting = job("l", 2, 8);
    lasting.m_steps[0].m_persistent = true;
    lasting.m_steps[0].m_data_rack = "r0";
    accept(lasting);
    const auto held = start_all();
    ASSERT_EQ(racks_of(held), std::set<std::string>{"r0"});
    confirm(held);
    job_submission near = job("j", 1, 1);
    near.m_steps[0].m_data_rack = "r0";
    near.m_steps[0].m_estimate = span(20'000);
    accept(near);
    EXPECT_EQ(start_within(max_idle).size(), 1u);
}

// Progress shows the end of a run whose declared time is far too long.
TEST_F(place_choice_test, a_gang_waits_for_a_run_that_is_nearly_done)
{
    add_racks(2);
    run_in("r0", span(300'000), 8);
    const start_order fast = run_in("r1", span(300'000), 8);
    report_shares(fast, {10, 40, 70, 95});
    accept(one_rack_gang("g", 2, span(20'000)));
    EXPECT_TRUE(start_all().empty());
}

} // namespace kingcuprudder::dispatch
