#include "dispatcher_fixture.hpp"

#include <utility>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr std::int64_t restarted_at = 200;
const call_result timed_out{order_outcome::may_have_arrived,
                            call_failure::timed_out};

/// A task whose first start was not answered and whose repeated start was.
class late_start_bar_test : public dispatcher_fixture
{
protected:
    late_start_bar_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        m_dispatcher.start_finished(m_run, timed_out, m_now);
        confirm(step().m_starts);
    }

    void complete() { report("w1", {}, {ended(1, m_run, run_outcome::done)}); }

    renewal_request last_request_of(const std::string& worker)
    {
        for (renewal_request& each : m_dispatcher.changed_renewals())
        {
            m_requests[each.m_worker] = std::move(each);
        }
        return m_requests[worker];
    }

    start_order m_run;

private:
    std::map<std::string, renewal_request> m_requests;
};

} // namespace

TEST_F(late_start_bar_test, a_completed_run_may_not_begin_in_the_next_process)
{
    complete();
    EXPECT_GT(m_dispatcher.required_fence(), m_run.m_fence);
}

TEST_F(late_start_bar_test, a_stopped_run_may_not_begin_in_the_next_process)
{
    m_dispatcher.cancel_job("job", m_now);
    for (const stop_order& order : step().m_stops)
    {
        m_dispatcher.stop_finished(order, order_outcome::accepted, m_now);
    }
    pass(span(10));
    report("w1", {});
    ASSERT_TRUE(m_dispatcher.workers().at("w1").m_tasks.empty());
    EXPECT_GT(m_dispatcher.required_fence(), m_run.m_fence);
}

TEST_F(late_start_bar_test,
       a_run_whose_lease_is_over_may_not_begin_in_the_next_process)
{
    m_dispatcher.renewal_failed("w1", timed_out, m_now);
    pass(span(7000));
    step();
    ASSERT_TRUE(m_dispatcher.workers().at("w1").m_tasks.empty());
    EXPECT_GT(m_dispatcher.required_fence(), m_run.m_fence);
}

TEST_F(late_start_bar_test, a_waiting_start_of_a_released_run_is_withdrawn)
{
    m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation, m_now);
    const std::vector<withdrawn_start> withdrawn = step().m_withdrawn;
    ASSERT_EQ(withdrawn.size(), 1u);
    EXPECT_EQ(withdrawn[0], (withdrawn_start{"w1", m_run.m_run}));
}

TEST_F(late_start_bar_test, answered_starts_need_no_higher_token)
{
    add_worker("w2");
    const std::int64_t before = m_dispatcher.required_fence();
    accept(job("other", 1, 8));
    const start_order other = start_all().at(0);
    confirm({other});
    report(other.m_worker, {}, {ended(1, other, run_outcome::done)});
    EXPECT_EQ(m_dispatcher.required_fence(), before);
}

TEST_F(late_start_bar_test,
       an_idle_worker_is_polled_while_a_late_start_may_come)
{
    complete();
    store();
    step();
    EXPECT_TRUE(last_request_of("w1").m_needed);
    pass(span(15'000));
    step();
    EXPECT_FALSE(last_request_of("w1").m_needed);
}

TEST_F(late_start_bar_test, a_next_process_gets_work_only_with_a_higher_token)
{
    confirm({m_run});
    complete();
    store();
    step();
    accept(job("next", 1, 8));
    pass(span(10));
    report("w1", {}, {}, restarted_at);
    worker_description restarted = worker("w1");
    restarted.m_incarnation = restarted_at;
    m_dispatcher.worker_listed(restarted, m_now);
    EXPECT_EQ(last_request_of("w1").m_min_fence, m_dispatcher.fence() + 1);
    EXPECT_TRUE(start_all().empty());
    // The token was raised by now, and the process accepts it.
    report("w1", {}, {}, restarted_at);
    EXPECT_EQ(start_all().size(), 1u);
}

TEST_F(late_start_bar_test, a_start_with_a_replaced_token_is_sent_again)
{
    complete();
    store();
    accept(job("next", 1, 8));
    const std::vector<start_order> first = start_all();
    ASSERT_EQ(first.size(), 1u);
    m_dispatcher.start_finished(first[0], order_outcome::refused_own_fence,
                                m_now);
    const std::vector<start_order> again = step().m_starts;
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].m_run, first[0].m_run);
}

} // namespace kingcuprudder::dispatch
