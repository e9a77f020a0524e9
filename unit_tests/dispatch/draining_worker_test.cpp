#include "dispatcher_fixture.hpp"

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

const call_result given_up{order_outcome::not_sent, call_failure::given_up};
const call_result timed_out{order_outcome::may_have_arrived,
                            call_failure::timed_out};

/// A worker that drains after the first of its two starts was made.
class draining_worker_test : public dispatcher_fixture
{
protected:
    draining_worker_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        add_worker("w2");
    }

    void drain()
    {
        worker_description entry = worker("w1");
        entry.m_draining = true;
        m_dispatcher.worker_listed(entry, m_now);
    }

    /// Returns the workers of the starts that are made next.
    std::vector<std::string> workers_of_starts()
    {
        std::vector<std::string> workers;
        for (const start_order& order : start_all())
        {
            workers.push_back(order.m_worker);
        }
        return workers;
    }

    bool is_told_to_drain()
    {
        const std::vector<renewal_request> changed =
            m_dispatcher.changed_renewals();
        return std::any_of(changed.begin(), changed.end(),
                           [](const renewal_request& each) {
                               return each.m_worker == "w1" && each.m_draining;
                           });
    }

    start_order m_run;
};

} // namespace

TEST_F(draining_worker_test, its_session_learns_that_it_drains)
{
    ASSERT_FALSE(is_told_to_drain());
    drain();
    EXPECT_TRUE(is_told_to_drain());
}

TEST_F(draining_worker_test, a_task_whose_start_was_refused_starts_elsewhere)
{
    drain();
    m_dispatcher.start_finished(m_run, given_up, m_now);
    EXPECT_EQ(workers_of_starts(), std::vector<std::string>{"w2"});
}

TEST_F(draining_worker_test, an_unanswered_start_is_stopped_instead_of_repeated)
{
    m_dispatcher.start_finished(m_run, timed_out, m_now);
    drain();
    EXPECT_TRUE(step().m_starts.empty());
    const std::vector<stop_order> stops = step().m_stops;
    ASSERT_EQ(stops.size(), 1u);
    EXPECT_EQ(stops[0].m_run, m_run.m_run);
    m_dispatcher.stop_finished(stops[0], order_outcome::accepted, m_now);
    pass(span(10));
    report("w1", {});
    EXPECT_EQ(workers_of_starts(), std::vector<std::string>{"w2"});
}

TEST_F(draining_worker_test, a_refused_repetition_stops_the_unanswered_start)
{
    m_dispatcher.start_finished(m_run, timed_out, m_now);
    const std::vector<start_order> again = step().m_starts;
    ASSERT_EQ(again.size(), 1u);
    drain();
    m_dispatcher.start_finished(again[0], given_up, m_now);
    const dispatch_effects effects = step();
    EXPECT_TRUE(effects.m_starts.empty());
    EXPECT_EQ(effects.m_stops.size(), 1u);
}

// The orders may be collected between the entry and the next planning.
TEST_F(draining_worker_test,
       an_assigned_task_is_not_sent_before_it_is_planned_anew)
{
    report("w1", {}, {ended(1, m_run, run_outcome::done)});
    worker_description gone = worker("w2");
    gone.m_draining = true;
    m_dispatcher.worker_listed(gone, m_now);
    accept(job("next", 1, 8));
    m_dispatcher.plan(m_now, m_now);
    ASSERT_EQ(m_dispatcher.workers().at("w1").m_tasks.size(), 1u);
    store();
    drain();
    EXPECT_TRUE(m_dispatcher.collect_orders(m_now).m_starts.empty());
    m_dispatcher.worker_listed(worker("w2"), m_now);
    EXPECT_EQ(workers_of_starts(), std::vector<std::string>{"w2"});
}

} // namespace kingcuprudder::dispatch
