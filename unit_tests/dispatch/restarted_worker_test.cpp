#include "dispatcher_fixture.hpp"

#include <utility>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr std::int64_t restarted_at = 200;

/// A task whose start was sent to the first of two workers. The workers keep
/// their ids when their processes restart.
class restarted_worker_test : public dispatcher_fixture
{
protected:
    restarted_worker_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        add_worker("w2");
    }

    void start_is_not_answered()
    {
        m_dispatcher.start_finished(
            m_run, {order_outcome::may_have_arrived, call_failure::timed_out},
            m_now);
    }

    /// The new process of w1 answers a call that is sent now.
    void restarted_worker_answers(std::vector<running_report> running,
                                  std::vector<completion_report> ended = {})
    {
        pass(span(10));
        report("w1", std::move(running), std::move(ended), restarted_at);
    }

    /// Returns whether the task is started elsewhere.
    bool is_started_again()
    {
        bool again = false;
        for (int round = 0; round < 2; ++round)
        {
            const dispatch_effects effects = step();
            for (const start_order& order : effects.m_starts)
            {
                again = again || order.m_run.m_run > m_run.m_run.m_run;
            }
            m_stops.insert(m_stops.end(), effects.m_stops.begin(),
                           effects.m_stops.end());
            store();
        }
        return again;
    }

    /// Returns the stops since the last call.
    std::vector<stop_order> stops()
    {
        is_started_again();
        return std::exchange(m_stops, {});
    }

    start_order m_run;

private:
    std::vector<stop_order> m_stops;
};

} // namespace

TEST_F(restarted_worker_test, a_run_that_the_new_process_holds_goes_on)
{
    confirm({m_run});
    restarted_worker_answers({running(m_run)});
    EXPECT_FALSE(is_started_again());
    EXPECT_TRUE(stops().empty());
    restarted_worker_answers({}, {ended(1, m_run, run_outcome::done)});
    EXPECT_EQ(m_log.lines("job_completed").size(), 1u);
}

TEST_F(restarted_worker_test,
       a_task_waits_while_its_unanswered_start_may_reach_the_new_process)
{
    start_is_not_answered();
    restarted_worker_answers({});
    EXPECT_FALSE(is_started_again());
    // The stop makes the new process refuse the start.
    const std::vector<stop_order> sent = stops();
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].m_run, m_run.m_run);
    m_dispatcher.stop_finished(sent[0], order_outcome::accepted, m_now);
    restarted_worker_answers({});
    EXPECT_TRUE(is_started_again());
}

TEST_F(restarted_worker_test, a_start_in_flight_is_stopped_at_the_new_process)
{
    restarted_worker_answers({});
    EXPECT_FALSE(is_started_again());
    EXPECT_EQ(stops().size(), 1u);
}

TEST_F(restarted_worker_test, a_stop_of_the_earlier_process_is_sent_again)
{
    start_is_not_answered();
    m_dispatcher.cancel_job("job", m_now);
    for (const stop_order& order : stops())
    {
        m_dispatcher.stop_finished(order, order_outcome::accepted, m_now);
    }
    restarted_worker_answers({});
    EXPECT_EQ(stops().size(), 1u);
    EXPECT_EQ(m_dispatcher.workers().at("w1").m_tasks.size(), 1u);
}

TEST_F(restarted_worker_test, a_run_with_answered_starts_has_ended)
{
    confirm({m_run});
    restarted_worker_answers({});
    EXPECT_TRUE(is_started_again());
}

TEST_F(restarted_worker_test, the_record_names_the_process_that_holds_the_run)
{
    confirm({m_run});
    store();
    restarted_worker_answers({running(m_run)});
    const std::vector<job_write> writes = store();
    ASSERT_EQ(writes.size(), 1u);
    EXPECT_EQ(writes[0].m_progress.m_tasks[0][0][0].m_worker_incarnation,
              restarted_at);
}

TEST_F(restarted_worker_test,
       a_later_record_of_the_worker_ends_no_run_of_an_earlier_leader)
{
    recorded_log log;
    dispatcher next(dispatch_limits(), log.recorder());
    next.configure(m_configuration);
    next.begin_term(m_now, 1);
    next.worker_listed(worker("w1"), m_now);
    next.worker_listed(worker("w2"), m_now);
    for (const std::int64_t incarnation : {restarted_at, std::int64_t(100)})
    {
        job_progress progress;
        progress.m_state = job_state::running;
        progress.m_tasks = {{{task_progress()}}};
        task_progress& task = progress.m_tasks[0][0][0];
        task.m_last_run = 1;
        task.m_worker = "w1";
        task.m_worker_incarnation = incarnation;
        next.add_job(job("job-" + std::to_string(incarnation), 1, 4), progress,
                     1, m_now, m_now);
    }
    worker_report answer;
    answer.m_incarnation = 100;
    next.renewal_answered("w2", answer, m_now, m_now);
    next.plan(m_now, m_now);
    EXPECT_TRUE(log.lines("task_assigned").empty());
    answer.m_incarnation = restarted_at;
    next.renewal_answered("w1", answer, m_now, m_now);
    worker_description restarted = worker("w1");
    restarted.m_incarnation = restarted_at;
    next.worker_listed(restarted, m_now);
    next.plan(m_now, m_now);
    EXPECT_EQ(log.lines("task_assigned").size(), 2u);
}

} // namespace kingcuprudder::dispatch
