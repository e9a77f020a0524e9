#include "dispatcher_fixture.hpp"

#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr span after_the_lease = span(6500);

} // namespace

/// What the log says about lost workers and suspected tasks.
class crash_log_test : public dispatcher_fixture
{
protected:
    void lose(const std::string& worker,
              call_failure reason = call_failure::connection_closed)
    {
        m_dispatcher.renewal_failed(
            worker, {order_outcome::may_have_arrived, reason}, m_now);
        m_dispatcher.worker_unlisted(worker, m_now);
    }

    /// Starts what waits; the worker crashes after this time.
    void crash_after_start(const std::string& worker, span time = span(10))
    {
        confirm(start_all());
        pass(time);
        lose(worker);
        pass(after_the_lease);
        step();
        store();
    }

    /// Returns the only line of this event.
    log_line line(const std::string& event) const
    {
        const std::vector<log_line> found = m_log.lines(event);
        EXPECT_EQ(found.size(), 1u) << event;
        return found.empty() ? log_line() : found.front();
    }
};

// Guards against a job that was failed without the evidence in the log.
TEST_F(crash_log_test, each_crash_of_a_task_that_is_given_up_has_its_evidence)
{
    add_worker("w1");
    accept(job("deadly", 1, 8));
    for (int crash = 1; crash <= 3; ++crash)
    {
        const std::string worker = "w" + std::to_string(crash);
        add_worker(worker);
        crash_after_start(worker);
        const std::vector<log_line> attributed =
            m_log.lines("crash_attributed");
        ASSERT_EQ(attributed.size(), static_cast<std::size_t>(crash));
        EXPECT_EQ(attributed.back().m_id, "deadly.0.0.0");
        EXPECT_EQ(attributed.back().field("worker"), worker);
        EXPECT_EQ(attributed.back().field("run"), std::to_string(crash));
        EXPECT_EQ(attributed.back().field("run_age_ms"), "10");
        EXPECT_EQ(attributed.back().field("accepted"), "true");
        EXPECT_EQ(attributed.back().field("other_new_jobs"), "0");
        EXPECT_EQ(attributed.back().field("address_lost_before"), "false");
        EXPECT_EQ(m_log.lines("worker_lost").back().field("address"),
                  "address-of-" + worker);
        EXPECT_NE(m_log.lines("worker_lost").back().field("last_answer_age_ms"),
                  "");
    }
    const log_line given_up = line("task_given_up");
    EXPECT_EQ(given_up.m_id, "deadly.0.0.0");
    EXPECT_EQ(given_up.field("runs"), "3");
    EXPECT_EQ(given_up.field("certain"), "3");
    EXPECT_EQ(line("job_failed").field("reason"), "crashes its workers");
}

TEST_F(crash_log_test, a_job_that_used_its_attempts_is_not_a_crashing_one)
{
    add_worker("w1");
    accept(job("failing", 1, 8));
    for (int attempt = 1; attempt <= 2; ++attempt)
    {
        const std::vector<start_order> starts = start_all();
        ASSERT_EQ(starts.size(), 1u);
        confirm(starts);
        report("w1", {}, {ended(attempt, starts[0], run_outcome::failed)});
        store();
    }
    EXPECT_EQ(line("job_failed").field("reason"), "attempts used");
    EXPECT_TRUE(m_log.lines("task_given_up").empty());
}

// Guards against a reader who cannot tell why another task was spared.
TEST_F(crash_log_test, a_recent_run_that_is_not_blamed_has_a_line)
{
    for (int index = 1; index <= 4; ++index)
    {
        add_worker("w" + std::to_string(index));
    }
    accept(job("old", 4, 5));
    confirm(start_all());
    pass(span(6000));
    accept(job("recent", 1, 3));
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    confirm(starts);
    pass(span(2000));
    for (int index = 1; index <= 4; ++index)
    {
        lose("w" + std::to_string(index));
    }
    pass(after_the_lease);
    step();
    const log_line spared = line("crash_not_attributed");
    EXPECT_EQ(spared.m_id, "recent.0.0.0");
    EXPECT_EQ(spared.field("worker"), starts[0].m_worker);
    EXPECT_EQ(spared.field("run_age_ms"), "2000");
    EXPECT_EQ(m_log.lines("worker_lost").size(), 4u);
    EXPECT_TRUE(m_log.lines("crash_attributed").empty());
}

TEST_F(crash_log_test, an_unreliable_address_is_logged)
{
    add_worker("w1");
    accept(job("old", 1, 8));
    crash_after_start("w1", span(10'000));
    const log_line unreliable = line("worker_unreliable");
    EXPECT_EQ(unreliable.m_id, "w1");
    EXPECT_EQ(unreliable.field("address"), "address-of-w1");
    EXPECT_EQ(unreliable.field("for_ms"), "60000");
}

TEST_F(crash_log_test, a_worker_on_trial_is_logged_with_its_task)
{
    add_worker("w1");
    accept(job("suspected", 1, 8));
    crash_after_start("w1");
    EXPECT_TRUE(m_log.lines("worker_on_trial").empty());
    add_worker("w2");
    confirm(start_all());
    const std::vector<log_line> trials = m_log.lines("worker_on_trial");
    ASSERT_EQ(trials.size(), 2u);
    EXPECT_EQ(trials[0].m_id, "w2");
    EXPECT_EQ(trials[0].field("task"), "suspected.0.0.0");
    EXPECT_EQ(trials[0].field("start_sent"), "false");
    EXPECT_EQ(trials[1].field("start_sent"), "true");
    EXPECT_EQ(trials[1].field("for_ms"), "1500");
    EXPECT_EQ(m_log.lines("task_assigned").back().field("suspected"), "true");
}

// Guards against a job whose long wait has no line, and against a line for
// each planning pass.
TEST_F(crash_log_test, a_suspected_task_that_waits_says_why)
{
    add_worker("w1");
    accept(job("suspected", 1, 4));
    crash_after_start("w1");
    const log_line without_worker = line("suspected_task_waits");
    EXPECT_EQ(without_worker.m_id, "suspected.0.0.0");
    EXPECT_EQ(without_worker.field("task_waited_ms"), "0");
    EXPECT_EQ(without_worker.field("workers_with_room"), "0");
    pass(span(10));
    add_worker("w2");
    accept(job("other", 1, 2, "urgent"));
    for (int pass_number = 0; pass_number < 5; ++pass_number)
    {
        pass(span(10));
        confirm(start_all());
    }
    EXPECT_EQ(m_log.lines("suspected_task_waits").size(), 1u);
    pass(span(5000));
    confirm(start_all());
    const log_line started = m_log.lines("task_assigned").back();
    EXPECT_EQ(started.m_id, "suspected.0.0.0");
    EXPECT_EQ(started.field("task_waited_ms"), "5060");
}

TEST_F(crash_log_test, a_wait_for_a_quiet_worker_shows_the_new_runs_there)
{
    add_worker("w1");
    accept(job("suspected", 1, 4));
    confirm(start_all());
    pass(span(10));
    lose("w1");
    pass(after_the_lease - span(300));
    add_worker("w2");
    accept(job("other", 1, 4));
    confirm(start_all());
    pass(span(300));
    step();
    const log_line waits = line("suspected_task_waits");
    EXPECT_EQ(waits.field("wants_quiet_worker"), "true");
    EXPECT_EQ(waits.field("workers_with_room"), "1");
    EXPECT_EQ(waits.field("with_new_runs"), "1");
    EXPECT_EQ(waits.field("on_trial"), "0");
}

// Guards against a gang that waits for room while single workers have some.
TEST_F(crash_log_test, a_suspected_gang_that_waits_says_how_many_tasks_fit)
{
    add_worker("w1");
    add_worker("w2");
    job_submission gang = job("gang", 2, 8);
    gang.m_steps[0].m_gang = true;
    accept(gang);
    confirm(start_all());
    pass(span(10));
    lose("w1");
    report("w2", {});
    pass(after_the_lease);
    report("w2", {});
    step();
    const log_line waits = line("suspected_task_waits");
    EXPECT_EQ(waits.m_id, "gang.0.0.0");
    EXPECT_EQ(waits.field("gang"), "true");
    EXPECT_EQ(waits.field("tasks"), "2");
    EXPECT_EQ(waits.field("fitting_tasks"), "1");
    EXPECT_EQ(waits.field("workers_with_room"), "1");
}

TEST_F(crash_log_test, the_line_on_a_wait_names_a_task_that_waits)
{
    add_worker("w1");
    accept(job("suspected", 2, 4));
    crash_after_start("w1");
    pass(span(10));
    add_worker("w2", 4);
    step();
    const std::vector<log_line> waits = m_log.lines("suspected_task_waits");
    ASSERT_EQ(waits.size(), 2u);
    EXPECT_EQ(waits[0].m_id, "suspected.0.0.0");
    EXPECT_EQ(waits[1].m_id, "suspected.0.0.1");
    EXPECT_EQ(waits[1].field("tasks"), "1");
}

TEST_F(crash_log_test, a_withdrawn_crash_says_what_is_left)
{
    add_worker("w1");
    accept(job("good", 1, 8));
    const std::vector<start_order> starts = start_all();
    confirm(starts);
    pass(span(10));
    lose("w1");
    pass(after_the_lease);
    step();
    report("w1", {}, {ended(1, starts.at(0), run_outcome::lease_lapsed)});
    const log_line withdrawn = line("crash_withdrawn");
    EXPECT_EQ(withdrawn.m_id, "good.0.0.0");
    EXPECT_EQ(withdrawn.field("worker"), "w1");
    EXPECT_EQ(withdrawn.field("suspicion"), "certain");
    EXPECT_EQ(withdrawn.field("certain"), "0");
}

TEST_F(crash_log_test, cleared_crashes_say_what_was_cleared)
{
    add_worker("w1");
    accept(job("lasting", 1, 8));
    crash_after_start("w1");
    add_worker("w2");
    const std::vector<start_order> starts = start_all();
    ASSERT_EQ(starts.size(), 1u);
    confirm(starts);
    pass(span(40'000));
    report("w2", {running(starts[0])});
    const log_line cleared = line("crashes_cleared");
    EXPECT_EQ(cleared.field("worker"), "w2");
    EXPECT_EQ(cleared.field("lasted_ms"), "40000");
    EXPECT_EQ(cleared.field("certain"), "1");
}

} // namespace kingcuprudder::dispatch
