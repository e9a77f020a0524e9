#include "dispatcher_fixture.hpp"

#include <utility>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr std::int64_t first_start = 100;
constexpr std::int64_t second_start = 200;
const call_result connection_closed{order_outcome::may_have_arrived,
                                    call_failure::connection_closed};

/// A task whose start was sent to the first of two workers.
class release_review_test : public dispatcher_fixture
{
protected:
    release_review_test()
    {
        add_worker("w1");
        accept(job("job", 1, 8));
        m_run = start_all().at(0);
        add_worker("w2");
    }

    /// The process of w1 with this start time answers a call of the given time.
    void answer(std::int64_t started, instant sent,
                std::vector<running_report> running = {})
    {
        worker_report made;
        made.m_clock = m_now.count();
        made.m_incarnation = started;
        made.m_fence = m_dispatcher.fence();
        made.m_running = std::move(running);
        m_dispatcher.renewal_answered("w1", made, sent, m_now);
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

    worker_description entry_of_restart() const
    {
        worker_description entry = worker("w1");
        entry.m_incarnation = second_start;
        return entry;
    }

    start_order m_run;
    std::vector<stop_order> m_stops;
};

/// A leader that loads the records of an earlier one.
class loaded_leader_test : public dispatcher_fixture
{
protected:
    loaded_leader_test()
    {
        m_dispatcher.worker_listed(worker("w2"), m_now);
        report("w2", {});
    }

    void load(const std::string& id, std::int64_t started,
              const std::string& address)
    {
        load_on("w1", id, started, address);
    }

    /// Loads a task with a recorded run on the worker.
    void load_on(const std::string& on, const std::string& id,
                 std::int64_t started, const std::string& address)
    {
        job_progress progress;
        progress.m_state = job_state::running;
        progress.m_tasks = {{{task_progress()}}};
        task_progress& task = progress.m_tasks[0][0][0];
        task.m_last_run = 1;
        task.m_worker = on;
        task.m_worker_incarnation = started;
        task.m_worker_address = address;
        m_dispatcher.add_job(job(id, 1, 4), progress, 1, m_now, m_now);
    }

    std::size_t tasks_of_w1()
    {
        return m_dispatcher.workers().at("w1").m_tasks.size();
    }
};

} // namespace

TEST_F(release_review_test,
       a_poll_older_than_the_accepted_start_ends_no_run_of_the_new_process)
{
    // The new process writes the answer, then accepts the start.
    const instant polled = m_now + span(5);
    pass(span(10));
    confirm({m_run});
    answer(second_start, polled);
    EXPECT_FALSE(is_started_again());
}

TEST_F(release_review_test,
       a_stop_that_the_earlier_process_accepted_does_not_end_the_run)
{
    m_dispatcher.start_finished(
        m_run, {order_outcome::may_have_arrived, call_failure::timed_out},
        m_now);
    m_dispatcher.cancel_job("job", m_now);
    is_started_again();
    const std::vector<stop_order> to_earlier = std::exchange(m_stops, {});
    ASSERT_EQ(to_earlier.size(), 1u);
    pass(span(10));
    answer(second_start, m_now);
    m_dispatcher.stop_finished(to_earlier[0], order_outcome::accepted, m_now);
    pass(span(10));
    answer(second_start, m_now);
    EXPECT_EQ(m_dispatcher.workers().at("w1").m_tasks.size(), 1u);
}

TEST_F(release_review_test,
       a_run_that_leaves_the_new_process_without_an_end_is_released)
{
    confirm({m_run});
    pass(span(10));
    answer(second_start, m_now, {running(m_run)});
    for (int poll = 0; poll < 60; ++poll)
    {
        pass(span(500));
        m_dispatcher.renewal_sent("w1", m_now);
        answer(second_start, m_now);
    }
    EXPECT_TRUE(is_started_again());
}

TEST_F(release_review_test, the_record_names_the_address_of_the_new_process)
{
    m_dispatcher.start_finished(
        m_run, {order_outcome::may_have_arrived, call_failure::timed_out},
        m_now);
    worker_description entry = entry_of_restart();
    entry.m_address = "address-2-of-w1";
    m_dispatcher.worker_listed(entry, m_now);
    m_dispatcher.renewal_failed(
        "w1", {order_outcome::not_sent, call_failure::connection_refused},
        m_now);
    ASSERT_TRUE(m_dispatcher.is_called_at("w1", "address-2-of-w1"));
    pass(span(10));
    answer(second_start, m_now, {running(m_run)});
    const std::vector<job_write> writes = store();
    ASSERT_FALSE(writes.empty());
    const task_progress& task = writes.back().m_progress.m_tasks[0][0][0];
    EXPECT_EQ(task.m_worker_incarnation, second_start);
    EXPECT_EQ(task.m_worker_address, "address-2-of-w1");
}

TEST_F(release_review_test,
       no_start_is_sent_to_an_address_where_the_worker_has_not_answered)
{
    const call_result timed_out{order_outcome::may_have_arrived,
                                call_failure::timed_out};
    worker_description entry = entry_of_restart();
    entry.m_address = "address-2-of-w1";
    m_dispatcher.worker_listed(entry, m_now);
    m_dispatcher.renewal_failed("w1", timed_out, m_now);
    m_dispatcher.start_finished(m_run, timed_out, m_now);
    ASSERT_TRUE(m_dispatcher.is_called_at("w1", "address-2-of-w1"));
    EXPECT_TRUE(step().m_starts.empty());
    pass(span(1000));
    m_dispatcher.renewal_failed("w1", timed_out, m_now);
    ASSERT_TRUE(m_dispatcher.is_called_at("w1", "address-of-w1"));
    EXPECT_EQ(step().m_starts.size(), 1u);
}

TEST_F(loaded_leader_test, the_address_of_an_earlier_process_ends_no_later_run)
{
    worker_description entry = worker("w1");
    entry.m_incarnation = second_start;
    entry.m_address = "address-2-of-w1";
    m_dispatcher.worker_listed(entry, m_now);
    load("a-later", second_start, "address-2-of-w1");
    load("b-earlier", first_start, "address-of-w1");
    m_dispatcher.renewal_failed(
        "w1", {order_outcome::may_have_arrived, call_failure::timed_out},
        m_now);
    if (m_dispatcher.is_called_at("w1", "address-of-w1"))
    {
        m_dispatcher.renewal_failed("w1", order_outcome::wrong_incarnation,
                                    m_now);
    }
    EXPECT_GE(tasks_of_w1(), 1u);
    EXPECT_TRUE(m_log.lines("worker_replaced").empty());
}

TEST_F(loaded_leader_test, an_answer_of_the_new_process_keeps_the_earlier_crash)
{
    load("a-later", second_start, "");
    load("b-earlier", first_start, "");
    step();
    ASSERT_EQ(m_log.lines("crash_attributed").size(), 1u);
    m_dispatcher.worker_listed(worker("w1"), m_now);
    report("w1", {}, {}, second_start);
    EXPECT_TRUE(m_log.lines("crash_withdrawn").empty());
}

TEST_F(release_review_test, a_crash_is_attributed_if_the_list_shows_it_first)
{
    confirm({m_run});
    pass(span(200));
    m_dispatcher.worker_listed(entry_of_restart(), m_now);
    m_dispatcher.renewal_failed("w1", connection_closed, m_now);
    pass(span(10));
    answer(second_start, m_now);
    const std::vector<log_line> lines = m_log.lines("crash_attributed");
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_EQ(lines[0].field("suspicion"), "certain");
}

TEST_F(release_review_test,
       a_process_that_restarts_later_by_a_clock_set_back_is_not_ignored)
{
    confirm({m_run});
    for (int poll = 0; poll < 60; ++poll)
    {
        pass(span(500));
        m_dispatcher.renewal_sent("w1", m_now);
        answer(first_start - 1, m_now);
    }
    EXPECT_TRUE(is_started_again());
}

TEST_F(loaded_leader_test, workers_that_restart_before_the_term_show_no_crash)
{
    for (int at = 0; at < 20; ++at)
    {
        const std::string id = "v" + std::to_string(at);
        m_dispatcher.worker_listed(worker(id), m_now);
        job_progress progress;
        progress.m_state = job_state::running;
        progress.m_tasks = {{{task_progress()}}};
        task_progress& task = progress.m_tasks[0][0][0];
        task.m_last_run = 1;
        task.m_worker = id;
        task.m_worker_incarnation = first_start;
        m_dispatcher.add_job(job("of-" + id, 1, 4), progress, 1, m_now, m_now);
    }
    for (int at = 0; at < 20; ++at)
    {
        report("v" + std::to_string(at), {}, {}, second_start);
        step();
    }
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
}

TEST_F(loaded_leader_test, a_single_restart_before_the_term_is_a_possible_crash)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    load("a", first_start, "");
    load("b", first_start, "");
    report("w1", {{task_ref{"b", 0, 0, 0}.str(), 1, "", 10}}, {}, second_start);
    step();
    const std::vector<log_line> lines = m_log.lines("crash_attributed");
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_EQ(lines[0].m_id, (task_ref{"a", 0, 0, 0}.str()));
    EXPECT_EQ(lines[0].field("suspicion"), "possible");
}

TEST_F(loaded_leader_test, a_restart_of_a_draining_worker_shows_no_crash)
{
    worker_description entry = worker("w1");
    entry.m_draining = true;
    m_dispatcher.worker_listed(entry, m_now);
    load("a", first_start, "");
    report("w1", {}, {}, second_start);
    step();
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
}

TEST_F(loaded_leader_test,
       a_restart_before_the_term_counts_though_other_workers_give_no_answer)
{
    for (const std::string id : {"w1", "w3", "w4", "w5"})
    {
        m_dispatcher.worker_listed(worker(id), m_now);
        load_on(id, "of-" + id, first_start, "");
    }
    report("w1", {}, {}, second_start);
    step();
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
    pass(span(3000));
    step();
    EXPECT_EQ(m_log.lines("crash_attributed").size(), 1u);
}

TEST_F(release_review_test, the_capacity_in_a_refuted_entry_is_not_used)
{
    confirm({m_run});
    worker_description entry = entry_of_restart();
    entry.m_capacity.m_gpus = 24;
    m_dispatcher.worker_listed(entry, m_now);
    pass(span(10));
    answer(first_start, m_now, {running(m_run)});
    ASSERT_EQ(m_log.lines("listed_restart_refuted").size(), 1u);
    accept(job("more", 3, 8));
    for (const start_order& order : start_all())
    {
        EXPECT_EQ(order.m_worker, "w2");
    }
}

TEST_F(release_review_test, an_entry_is_used_once_its_process_answers)
{
    worker_description entry = entry_of_restart();
    entry.m_capacity.m_gpus = 4;
    m_dispatcher.worker_listed(entry, m_now);
    const worker_entry& listed = m_dispatcher.workers().at("w1");
    EXPECT_EQ(listed.m_description.m_capacity.m_gpus, 8);
    pass(span(10));
    answer(second_start, m_now);
    EXPECT_EQ(listed.m_description.m_capacity.m_gpus, 4);
}

TEST_F(release_review_test,
       a_new_process_gets_no_work_by_the_entry_of_the_earlier_one)
{
    confirm({m_run});
    pass(span(10));
    answer(second_start, m_now);
    raise_required_fence();
    answer(second_start, m_now);
    ASSERT_TRUE(m_dispatcher.workers().at("w1").m_synced);
    accept(job("more", 2, 8));
    for (const start_order& order : start_all())
    {
        EXPECT_EQ(order.m_worker, "w2");
    }
}

TEST_F(release_review_test, a_new_process_gets_work_by_its_own_entry)
{
    confirm({m_run});
    pass(span(10));
    report_restart("w1", second_start);
    accept(job("more", 2, 8));
    EXPECT_EQ(start_all().size(), 1u);
    m_dispatcher.worker_listed(entry_of_restart(), m_now);
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    EXPECT_EQ(starts[0].m_worker, "w1");
}

TEST_F(release_review_test, entries_with_changing_start_times_idle_no_worker)
{
    confirm({m_run});
    for (int second = 0; second < 6; ++second)
    {
        worker_description entry = worker("w1");
        entry.m_incarnation = 900 + second % 2;
        m_dispatcher.worker_listed(entry, m_now);
        EXPECT_TRUE(second < 2 || m_dispatcher.workers().at("w1").m_synced)
            << second;
        pass(span(500));
        answer(first_start, m_now, {running(m_run)});
        pass(span(500));
    }
}

} // namespace kingcuprudder::dispatch
