#include "dispatcher_fixture.hpp"

#include <map>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr std::int64_t restarted_at = 200;
const call_result timed_out{order_outcome::may_have_arrived,
                            call_failure::timed_out};

/// Runs of workers whose next process answers, or of an earlier leader.
class next_process_test : public dispatcher_fixture
{
protected:
    renewal_request last_request_of(const std::string& worker)
    {
        for (renewal_request& each : m_dispatcher.changed_renewals())
        {
            m_requests[each.m_worker] = std::move(each);
        }
        return m_requests[worker];
    }

    /// Loads a task that an earlier leader has started on w1. Whether that
    /// start was answered is unknown.
    void load_run_of_earlier_leader(const std::string& id)
    {
        job_progress progress;
        progress.m_state = job_state::running;
        progress.m_tasks = {{{task_progress()}}};
        task_progress& task = progress.m_tasks[0][0][0];
        task.m_last_run = 1;
        task.m_worker = "w1";
        task.m_worker_incarnation = 100;
        task.m_worker_address = "address-of-w1";
        m_dispatcher.add_job(job(id, 1, 8), progress, 1, m_now, m_now);
    }

    std::map<std::string, renewal_request> m_requests;
};

} // namespace

TEST_F(next_process_test,
       a_worker_is_watched_after_an_unlisted_run_of_earlier_term)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    load_run_of_earlier_leader("job");
    pass(span(10));
    report("w1", {});
    ASSERT_TRUE(m_dispatcher.workers().at("w1").m_tasks.empty());
    store();
    EXPECT_TRUE(last_request_of("w1").m_needed);
}

TEST_F(next_process_test, a_worker_is_watched_after_a_done_run_of_earlier_term)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    load_run_of_earlier_leader("job");
    pass(span(10));
    start_order run;
    run.m_run = {{"job", 0, 0, 0}, 1};
    report("w1", {}, {ended(1, run, run_outcome::done)});
    store();
    EXPECT_TRUE(last_request_of("w1").m_needed);
}

TEST_F(next_process_test,
       an_unlisted_worker_is_watched_after_a_lost_earlier_run)
{
    load_run_of_earlier_leader("job");
    m_dispatcher.renewal_failed("w1", timed_out, m_now);
    pass(span(7000));
    step();
    ASSERT_TRUE(m_dispatcher.workers().at("w1").m_tasks.empty());
    EXPECT_FALSE(last_request_of("w1").m_address.empty());
}

// The term's token was raised to 4, and calls carried it, before the
// dispatcher is told.
TEST_F(next_process_test, the_required_token_is_above_that_of_the_calls_made)
{
    add_worker("w1");
    pass(span(1000));
    worker_report next;
    next.m_clock = 5;
    next.m_incarnation = restarted_at;
    next.m_fence = 4;
    m_dispatcher.renewal_answered("w1", next, m_now, m_now);
    EXPECT_GT(m_dispatcher.required_fence(), 4);
    EXPECT_FALSE(m_dispatcher.workers().at("w1").m_synced);
}

// Many raises while an answer to the first start is lost.
TEST_F(next_process_test, a_start_is_repeated_at_each_raise_and_ends)
{
    add_worker("w1");
    accept(job("job", 1, 8));
    start_order run = start_all().at(0);
    m_dispatcher.start_finished(run, timed_out, m_now);
    for (int raise = 0; raise < 50; ++raise)
    {
        m_dispatcher.fence_raised(m_dispatcher.fence() + 1);
        const auto again = step().m_starts;
        ASSERT_EQ(again.size(), 1u);
        m_dispatcher.start_finished(again[0], order_outcome::refused_own_fence,
                                    m_now);
    }
    const auto last = step().m_starts;
    ASSERT_EQ(last.size(), 1u);
    m_dispatcher.start_finished(last[0], order_outcome::refused_capacity,
                                m_now);
    EXPECT_EQ(step().m_stops.size(), 1u);
}

// A restored run that the next process holds while its job is cancelled.
TEST_F(next_process_test, restored_runs_in_a_next_process_break_no_assertion)
{
    for (const bool held : {false, true})
    {
        for (const bool cancelled : {false, true})
        {
            const std::string id = std::string("job-") + (held ? "h" : "n") +
                                   (cancelled ? "c" : "k");
            load_run_of_earlier_leader(id);
        }
    }
    m_dispatcher.worker_listed(worker("w1"), m_now);
    m_dispatcher.cancel_job("job-hc", m_now);
    m_dispatcher.cancel_job("job-nc", m_now);
    step();
    std::vector<running_report> running_there = {{"job-hc.0.0.0", 1, "", 1},
                                                 {"job-hk.0.0.0", 1, "", 1}};
    for (const std::int64_t started :
         {std::int64_t(100), restarted_at, std::int64_t(150)})
    {
        pass(span(10));
        report("w1", running_there, {}, started);
        step();
        pass(span(600));
        for (const stop_order& order : step().m_stops)
        {
            m_dispatcher.stop_finished(order, order_outcome::accepted, m_now);
        }
    }
    pass(span(10));
    report("w1", {}, {}, 150);
    EXPECT_TRUE(m_dispatcher.workers().at("w1").m_tasks.empty());
}

// The next process holds the run, as it carried the unanswered start out. The
// lease of the process before ends while the next one awaits the higher token.
TEST_F(next_process_test,
       a_run_held_by_a_next_process_outlives_the_earlier_lease)
{
    add_worker("w1");
    add_worker("w2");
    accept(job("job", 1, 8));
    const start_order run = start_all().at(0);
    const std::string holder = run.m_worker;
    m_dispatcher.start_finished(run, timed_out, m_now);
    m_dispatcher.renewal_failed(holder, timed_out, m_now);
    const instant lease_end = m_dispatcher.workers().at(holder).m_lease_end;
    m_now = lease_end - span(20);
    report(holder, {running(run)}, {}, restarted_at);
    pass(span(40));
    m_dispatcher.events_applied(m_now);
    m_dispatcher.plan(m_now, m_now);
    m_dispatcher.collect_orders(m_now);
    EXPECT_EQ(m_dispatcher.workers().at(holder).m_tasks.size(), 1u)
        << "released although the process reported it 40 ms ago";
    store();
    for (const start_order& other : start_all())
    {
        ADD_FAILURE() << "started again on " << other.m_worker << " as run "
                      << other.m_run.m_run;
    }
}

// As above, but the run is confirmed: the first start is carried out late by
// the next process, the second one was accepted by the process before.
TEST_F(next_process_test,
       a_confirmed_run_held_by_a_next_process_is_not_released)
{
    add_worker("w1");
    add_worker("w2");
    accept(job("job", 1, 8));
    const start_order run = start_all().at(0);
    const std::string holder = run.m_worker;
    m_dispatcher.start_finished(run, timed_out, m_now);
    confirm(step().m_starts);
    m_dispatcher.renewal_sent(holder, m_now);
    pass(span(500));
    m_dispatcher.renewal_failed(holder, timed_out, m_now);
    m_now = m_dispatcher.workers().at(holder).m_lease_end - span(20);
    report(holder, {running(run)}, {}, restarted_at);
    pass(span(40)); // The session pauses for 100 ms before the next renewal.
    EXPECT_TRUE(start_all().empty());
    EXPECT_EQ(m_dispatcher.workers().at(holder).m_tasks.size(), 1u);
    EXPECT_TRUE(m_log.lines("worker_lease_over").empty());
}

TEST_F(next_process_test, a_silent_worker_is_called_at_its_new_address_at_once)
{
    add_worker("w1");
    m_dispatcher.renewal_failed(
        "w1",
        {order_outcome::may_have_arrived, call_failure::connection_closed},
        m_now);
    worker_description moved = worker("w1");
    moved.m_incarnation = restarted_at;
    moved.m_address = "next-address-of-w1";
    m_dispatcher.worker_listed(moved, m_now);
    EXPECT_EQ(last_request_of("w1").m_address, "next-address-of-w1");
}

} // namespace kingcuprudder::dispatch
