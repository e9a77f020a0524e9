#include "dispatcher_fixture.hpp"

namespace kingcuprudder::dispatch
{

namespace
{

class release_log_test : public dispatcher_fixture
{
};

} // namespace

TEST_F(release_log_test, the_log_says_whether_a_start_may_still_be_executed)
{
    add_worker("w1");
    accept(job("job", 1, 1));
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    m_dispatcher.start_finished(
        starts[0], {order_outcome::may_have_arrived, call_failure::timed_out},
        m_now);
    confirm(step().m_starts);
    m_dispatcher.renewal_failed(
        "w1", {order_outcome::may_have_arrived, call_failure::timed_out},
        m_now);
    pass(span(10'000));
    step();
    const std::vector<log_line> over = m_log.lines("run_over");
    ASSERT_EQ(over.size(), 1u);
    EXPECT_EQ(over[0].field("phase"), "confirmed");
    EXPECT_EQ(over[0].field("sends"), "2");
    EXPECT_EQ(over[0].field("unanswered_sends"), "1");
    EXPECT_EQ(over[0].field("worker_started"), "100");
}

TEST_F(release_log_test, the_log_says_what_has_shown_a_restart)
{
    add_worker("w1");
    worker_description restarted = worker("w1");
    restarted.m_incarnation = 200;
    m_dispatcher.worker_listed(restarted, m_now);
    const std::vector<log_line> listed = m_log.lines("restart_listed");
    ASSERT_EQ(listed.size(), 1u);
    EXPECT_EQ(listed[0].field("started"), "100");
    EXPECT_EQ(listed[0].field("listed"), "200");
    report("w1", {}, {}, 300);
    const std::vector<log_line> lines = m_log.lines("worker_restarted");
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_EQ(lines[0].field("started_before"), "100");
    EXPECT_EQ(lines[0].field("started"), "300");
}

TEST_F(release_log_test,
       the_log_names_a_recorded_run_that_has_ended_with_its_process)
{
    worker_description restarted = worker("w1");
    restarted.m_incarnation = 200;
    m_dispatcher.worker_listed(restarted, m_now);
    report("w1", {}, {}, 200);
    const job_submission submission = job("job", 1, 1);
    job_progress progress;
    progress.m_tasks = {{{task_progress()}}};
    task_progress& task = progress.m_tasks[0][0][0];
    task.m_last_run = 3;
    task.m_worker = "w1";
    task.m_worker_incarnation = 100;
    m_dispatcher.add_job(submission, progress, 1, m_now, m_now);
    const std::vector<log_line> over = m_log.lines("recorded_run_over");
    ASSERT_EQ(over.size(), 1u);
    EXPECT_EQ(over[0].m_id, "job.0.0.0");
    EXPECT_EQ(over[0].field("run"), "3");
    EXPECT_EQ(over[0].field("worker_started_then"), "100");
    EXPECT_EQ(over[0].field("worker_started"), "200");
}

// Guards against an order to stop that is repeated for ever without a line that
// says whether the worker answers and is asked for a report.
TEST_F(release_log_test, the_log_names_a_run_that_outlasts_its_stops)
{
    m_dispatcher.worker_listed(worker("w1"), m_now);
    report("w1", {{"unknown.0.0.0", 3, "", 50}});
    constexpr int half_seconds = 10;
    for (int at = 0; at < half_seconds; ++at)
    {
        step();
        pass(span(500));
    }
    const std::vector<log_line> repeated = m_log.lines("stop_repeated");
    ASSERT_EQ(repeated.size(), 1u);
    EXPECT_EQ(repeated[0].m_id, "unknown.0.0.0");
    EXPECT_EQ(repeated[0].field("run"), "3");
    EXPECT_EQ(repeated[0].field("worker"), "w1");
    EXPECT_EQ(repeated[0].field("recorded"), "false");
    EXPECT_EQ(repeated[0].field("worker_answer_age_ms"), "1500");
    EXPECT_EQ(repeated[0].field("reachable"), "true");
    EXPECT_NE(repeated[0].field("renewed"), "");
    EXPECT_EQ(m_dispatcher.workers_with_unrecorded_runs(), 1u);
    report("w1", {});
    const std::vector<log_line> over = m_log.lines("unknown_run_over");
    ASSERT_EQ(over.size(), 1u);
    EXPECT_EQ(over[0].field("stops"), "10");
    EXPECT_EQ(over[0].field("first_stop_age_ms"), "5000");
    EXPECT_EQ(m_dispatcher.workers_with_unrecorded_runs(), 0u);
}

} // namespace kingcuprudder::dispatch
