#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

namespace
{

/// One task runs on the first of two workers.
class restart_evidence_test : public dispatcher_fixture
{
protected:
    restart_evidence_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        confirm({m_run});
        add_worker("w2");
        m_dispatcher.changed_renewals();
    }

    worker_description changed_entry() const { return worker("w1"); }

    /// Returns the starts of the next second, in which w1 answers each poll.
    std::vector<start_order> starts_while_the_worker_answers()
    {
        std::vector<start_order> starts;
        for (int poll = 0; poll < 4; ++poll)
        {
            m_dispatcher.changed_renewals();
            for (const start_order& order : start_all())
            {
                starts.push_back(order);
            }
            pass(span(250));
            report("w1", {running(m_run)});
        }
        return starts;
    }

    start_order m_run;
};

} // namespace

TEST_F(restart_evidence_test, a_false_start_time_in_the_worker_list_ends_no_run)
{
    worker_description entry = changed_entry();
    entry.m_incarnation = 900;
    m_dispatcher.worker_listed(entry, m_now);
    EXPECT_TRUE(starts_while_the_worker_answers().empty());
    EXPECT_EQ(m_dispatcher.workers().at("w1").m_tasks.size(), 1u);
}

TEST_F(restart_evidence_test, a_false_start_time_does_not_discard_later_answers)
{
    worker_description entry = changed_entry();
    entry.m_incarnation = 900;
    m_dispatcher.worker_listed(entry, m_now);
    m_dispatcher.worker_listed(changed_entry(), m_now);
    report("w1", {}, {ended(1, m_run, run_outcome::done)});
    EXPECT_EQ(m_log.lines("run_ended").size(), 1u);
}

TEST_F(restart_evidence_test,
       a_worker_with_a_later_start_time_is_polled_at_once)
{
    report("w1", {}, {ended(1, m_run, run_outcome::done)});
    store();
    worker_description entry = changed_entry();
    entry.m_incarnation = 200;
    m_dispatcher.changed_renewals();
    m_dispatcher.worker_listed(entry, m_now);
    const std::vector<renewal_request> requests =
        m_dispatcher.changed_renewals();
    ASSERT_EQ(requests.size(), 1u);
    EXPECT_TRUE(requests[0].m_needed);
}

TEST_F(restart_evidence_test, a_refused_start_time_does_not_cost_further_polls)
{
    worker_description entry = changed_entry();
    entry.m_incarnation = 900;
    m_dispatcher.worker_listed(entry, m_now);
    pass(span(10));
    report("w1", {running(m_run)});
    m_dispatcher.worker_listed(entry, m_now);
    EXPECT_TRUE(m_dispatcher.workers().at("w1").m_synced);
}

TEST_F(restart_evidence_test,
       a_false_start_time_ends_no_run_of_an_earlier_leader)
{
    recorded_log log;
    dispatcher next(dispatch_limits(), log.recorder());
    next.configure(m_configuration);
    next.begin_term(m_now);
    worker_description entry = changed_entry();
    entry.m_incarnation = 900;
    next.worker_listed(entry, m_now);
    next.worker_listed(worker("w2"), m_now);
    job_progress progress;
    progress.m_state = job_state::running;
    progress.m_tasks = {{{task_progress()}}};
    task_progress& task = progress.m_tasks[0][0][0];
    task.m_last_run = 1;
    task.m_worker = "w1";
    task.m_worker_incarnation = 100;
    next.add_job(job("job", 1, 8), progress, 1, m_now, m_now);
    worker_report answer;
    answer.m_incarnation = 100;
    next.renewal_answered("w2", answer, m_now, m_now);
    next.plan(m_now, m_now);
    EXPECT_TRUE(log.lines("task_assigned").empty());
    answer.m_running = {running(m_run)};
    next.renewal_answered("w1", answer, m_now, m_now);
    EXPECT_EQ(next.workers().at("w1").m_tasks.size(), 1u);
}

} // namespace kingcuprudder::dispatch
