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

    /// The worker's address in its newest renewal request.
    std::string called_address()
    {
        for (const renewal_request& request : m_dispatcher.changed_renewals())
        {
            if (request.m_worker == "w1")
            {
                m_called = request.m_address;
            }
        }
        return m_called;
    }

    /// Returns the record of the run on w1, which was called at the address.
    static job_progress recorded_run(const std::string& address)
    {
        job_progress progress;
        progress.m_state = job_state::running;
        progress.m_tasks = {{{task_progress()}}};
        task_progress& task = progress.m_tasks[0][0][0];
        task.m_last_run = 1;
        task.m_worker = "w1";
        task.m_worker_incarnation = 100;
        task.m_worker_address = address;
        return progress;
    }

    /// A leader that follows the one of the fixture. Both workers are
    /// listed; w2 answers, w1 does not.
    struct new_leader
    {
        explicit new_leader(const restart_evidence_test& test) : m_test(test)
        {
            m_dispatcher.configure(test.m_configuration);
            m_dispatcher.begin_term(test.m_now, 1);
            m_dispatcher.worker_listed(test.worker("w1"), test.m_now);
            m_dispatcher.worker_listed(test.worker("w2"), test.m_now);
        }

        void load(const job_progress& progress)
        {
            m_dispatcher.add_job(job("job", 1, 8), progress, 1, m_test.m_now,
                                 m_test.m_now);
            worker_report answer;
            answer.m_incarnation = 100;
            m_dispatcher.renewal_answered("w2", answer, m_test.m_now,
                                          m_test.m_now);
        }

        const restart_evidence_test& m_test;
        recorded_log m_log;
        dispatcher m_dispatcher{dispatch_limits(), m_log.recorder()};
    };

    start_order m_run;

private:
    std::string m_called = "address-of-w1";
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

TEST_F(restart_evidence_test, a_false_address_in_the_worker_list_ends_no_run)
{
    worker_description entry = changed_entry();
    entry.m_address = "address-of-w2";
    m_dispatcher.worker_listed(entry, m_now);
    if (called_address() == "address-of-w2")
    {
        m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation,
                                    m_now);
    }
    EXPECT_TRUE(start_all().empty());
    EXPECT_EQ(m_dispatcher.workers().at("w1").m_tasks.size(), 1u);
}

TEST_F(restart_evidence_test, a_worker_that_answers_is_called_where_it_answers)
{
    worker_description entry = changed_entry();
    entry.m_address = "address-of-w2";
    m_dispatcher.worker_listed(entry, m_now);
    EXPECT_EQ(called_address(), "address-of-w1");
}

TEST_F(restart_evidence_test, a_silent_worker_is_called_at_its_new_address)
{
    worker_description entry = changed_entry();
    entry.m_address = "address-2-of-w1";
    m_dispatcher.worker_listed(entry, m_now);
    m_dispatcher.renewal_failed(
        "w1", {order_outcome::not_sent, call_failure::connection_refused},
        m_now);
    EXPECT_EQ(called_address(), "address-2-of-w1");
    pass(span(1000));
    // Its address before is tried again, as an entry may be false.
    m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation, m_now);
    EXPECT_EQ(called_address(), "address-of-w1");
    EXPECT_TRUE(start_all().empty());
}

TEST_F(restart_evidence_test,
       a_refusal_where_the_worker_has_answered_ends_its_runs)
{
    m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation, m_now);
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].m_worker, "w2");
}

TEST_F(restart_evidence_test,
       a_refusal_at_an_address_where_nobody_has_answered_ends_no_run)
{
    new_leader next(*this);
    next.load(recorded_run(""));
    next.m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation,
                                     m_now);
    next.m_dispatcher.plan(m_now, m_now);
    EXPECT_TRUE(next.m_log.lines("task_assigned").empty());
}

TEST_F(restart_evidence_test,
       a_refusal_at_the_recorded_address_ends_the_runs_of_an_earlier_leader)
{
    new_leader next(*this);
    next.load(recorded_run("address-of-w1"));
    next.m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation,
                                     m_now);
    next.m_dispatcher.plan(m_now, m_now);
    EXPECT_EQ(next.m_log.lines("task_assigned").size(), 1u);
}

TEST_F(restart_evidence_test,
       a_false_start_time_ends_no_run_of_an_earlier_leader)
{
    new_leader next(*this);
    worker_description entry = changed_entry();
    entry.m_incarnation = 900;
    next.m_dispatcher.worker_listed(entry, m_now);
    next.load(recorded_run("address-of-w1"));
    next.m_dispatcher.plan(m_now, m_now);
    EXPECT_TRUE(next.m_log.lines("task_assigned").empty());
    worker_report answer;
    answer.m_incarnation = 100;
    answer.m_running = {running(m_run)};
    next.m_dispatcher.renewal_answered("w1", answer, m_now, m_now);
    EXPECT_EQ(next.m_dispatcher.workers().at("w1").m_tasks.size(), 1u);
}

} // namespace kingcuprudder::dispatch
