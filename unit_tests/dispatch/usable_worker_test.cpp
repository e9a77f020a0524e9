#include "dispatcher_fixture.hpp"

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

class usable_worker_test : public dispatcher_fixture
{
protected:
    /// Returns the newest renewal request of the worker.
    renewal_request request_of(const std::string& worker)
    {
        for (const renewal_request& each : m_dispatcher.changed_renewals())
        {
            m_requests[each.m_worker] = each;
        }
        return m_requests[worker];
    }

    static running_report unknown_run(int index)
    {
        return {"cancelled.0.0." + std::to_string(index), 1, "", 50};
    }

    static completion_report stopped(std::int64_t number, int index)
    {
        return {number, unknown_run(index).m_task, 1, run_outcome::stopped, ""};
    }

    void lose(const std::string& worker, order_outcome outcome)
    {
        m_dispatcher.renewal_failed(worker, {outcome, call_failure::timed_out},
                                    m_now);
    }

    std::map<std::string, renewal_request> m_requests;
};

} // namespace

// Guards against a worker that a new leader never uses again, as the runs of a
// cancelled job end there one by one and nobody asks for the later ends.
TEST_F(usable_worker_test, a_worker_is_asked_until_its_unknown_runs_are_over)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    report("w1", {unknown_run(0), unknown_run(1)});
    EXPECT_TRUE(request_of("w1").m_needed);
    report("w1", {unknown_run(1)}, {stopped(1, 0)});
    EXPECT_TRUE(request_of("w1").m_needed);
    accept(job("j", 1, 8));
    EXPECT_TRUE(start_all().empty());
    report("w1", {}, {stopped(2, 1)});
    EXPECT_FALSE(request_of("w1").m_needed);
    EXPECT_EQ(start_all().size(), 1u);
}

// Guards against a worker that stays unused as it was lost with unknown runs;
// so does the next test.
TEST_F(usable_worker_test, unknown_runs_of_a_silent_worker_end_with_its_lease)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    report("w1", {unknown_run(0)});
    m_dispatcher.renewal_sent("w1", m_now);
    lose("w1", order_outcome::may_have_arrived);
    pass(span(6000));
    step();
    EXPECT_EQ(m_dispatcher.workers_with_unrecorded_runs(), 1u);
    pass(span(1000));
    step();
    EXPECT_EQ(m_dispatcher.workers_with_unrecorded_runs(), 0u);
    EXPECT_TRUE(step().m_stops.empty());
}

TEST_F(usable_worker_test, unknown_runs_end_with_the_process_that_was_replaced)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    EXPECT_TRUE(request_of("w1").m_needed);
    report("w1", {unknown_run(0)});
    lose("w1", order_outcome::wrong_incarnation);
    EXPECT_EQ(m_dispatcher.workers_with_unrecorded_runs(), 0u);
}

// Guards against unknown runs that go on, as nobody calls a worker whose entry
// has lapsed: the stops need a session.
TEST_F(usable_worker_test, an_unlisted_worker_with_unknown_runs_is_called)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    report("w1", {unknown_run(0)});
    m_dispatcher.worker_unlisted("w1", m_now);
    EXPECT_EQ(request_of("w1").m_address, "address-of-w1");
    EXPECT_TRUE(request_of("w1").m_needed);
    report("w1", {}, {stopped(1, 0)});
    EXPECT_EQ(request_of("w1").m_address, "");
}

// Guards against a worker that is not used until its next heartbeat: its first
// answer came from a process before the listed one, and nobody asked again.
TEST_F(usable_worker_test, a_worker_is_asked_until_the_listed_process_answers)
{
    worker_description restarted = worker("w1");
    restarted.m_incarnation = 200;
    m_dispatcher.worker_listed(worker("w1"), m_now);
    m_dispatcher.worker_listed(restarted, m_now);
    report("w1", {}, {}, 100);
    EXPECT_TRUE(request_of("w1").m_needed);
    report_restart("w1", 200);
    EXPECT_FALSE(request_of("w1").m_needed);
    accept(job("j", 1, 8));
    EXPECT_EQ(start_all().size(), 1u);
}

} // namespace kingcuprudder::dispatch
