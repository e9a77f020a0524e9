#include <gtest/gtest.h>
#include <soak/promise_checks.hpp>

namespace kingcuprudder::soak
{

namespace
{

using dispatch::job_state;
using dispatch::run_outcome;

constexpr instant accepted_at(100'000);
constexpr instant done_at(102'000);
constexpr promise_bounds bounds;
constexpr int max_attempts = 3;

status_call call_at(instant ended_at, status_result result)
{
    status_call call;
    call.m_process = 4;
    call.m_sent_at = ended_at - span(20);
    call.m_ended_at = ended_at;
    call.m_result = result;
    return call;
}

status_call state_at(instant ended_at, job_state state)
{
    status_call call = call_at(ended_at, status_result::state);
    call.m_state = state;
    return call;
}

ended_run run_end(const std::string& task, int run, run_outcome outcome,
                  instant at)
{
    return {task, run, outcome, at};
}

/// An accepted job with one step of two tasks of which none has ended. It is
/// asked for at the end, with the answer that it is running.
job_history running_job()
{
    job_history history;
    history.m_job.m_id = "j";
    history.m_job.m_queue = "q";
    history.m_job.m_policy.m_max_attempts = max_attempts;
    history.m_job.m_steps.resize(1);
    history.m_job.m_steps[0].m_count = 2;
    history.m_accepted_at = accepted_at;
    history.m_begun_at = accepted_at + span(100);
    history.m_final_calls = {
        state_at(accepted_at + span(9000), job_state::running)};
    return history;
}

/// The job after both of its tasks were done, of which callers were told.
job_history completed_job()
{
    job_history history = running_job();
    history.m_ended_runs = {
        run_end("j.0.0.1", 1, run_outcome::done, done_at - span(50)),
        run_end("j.0.0.0", 1, run_outcome::done, done_at)};
    history.m_calls = {state_at(accepted_at + span(50), job_state::queued),
                       state_at(accepted_at + span(1000), job_state::running),
                       state_at(done_at, job_state::completed)};
    history.m_final_calls = {
        state_at(accepted_at + span(9000), job_state::completed)};
    return history;
}

/// The running job after a task has failed in this number of runs.
job_history job_with_failed_runs(int count)
{
    job_history history = running_job();
    for (int run = 1; run <= count; ++run)
    {
        history.m_ended_runs.push_back(run_end("j.0.0.0", run,
                                               run_outcome::failed,
                                               accepted_at + span(100) * run));
    }
    return history;
}

std::vector<std::string> found_in(const job_history& history)
{
    return promise_violations(history, bounds);
}

/// Expects one message, of this rule and with this text.
void expect_one(const std::vector<std::string>& found, const std::string& rule,
                const std::string& text)
{
    ASSERT_EQ(found.size(), 1);
    EXPECT_EQ(found[0].substr(0, rule.size() + 1), rule + ":") << found[0];
    EXPECT_NE(found[0].find(text), std::string::npos) << found[0];
}

void expect_none(const std::vector<std::string>& found)
{
    EXPECT_TRUE(found.empty()) << found[0];
}

} // namespace

TEST(promise_checks, a_sound_job_breaks_no_promise)
{
    expect_none(found_in(running_job()));
    expect_none(found_in(completed_job()));
}

TEST(promise_checks, an_accepted_job_must_not_be_unknown_after_the_bound)
{
    job_history history = running_job();
    const instant bound = accepted_at + bounds.m_visible;
    history.m_calls = {call_at(bound, status_result::unknown_job)};
    expect_none(found_in(history));
    history.m_calls = {call_at(bound + span(1), status_result::unknown_job)};
    expect_one(found_in(history), "LOST", "3001 ms after its acknowledgement");
    history.m_calls[0].m_in_touch = false;
    expect_none(found_in(history));
}

TEST(promise_checks, many_answers_with_one_defect_give_one_message)
{
    job_history history = running_job();
    for (int index = 0; index < 5; ++index)
    {
        history.m_calls.push_back(call_at(accepted_at + span(5000 + index),
                                          status_result::unknown_job));
    }
    expect_one(found_in(history), "LOST", "5000 ms");
}

TEST(promise_checks, a_cancelled_job_may_be_unknown_from_its_cancellation_on)
{
    job_history history = running_job();
    const instant asked_at = accepted_at + span(5000);
    history.m_calls = {call_at(asked_at, status_result::unknown_job)};
    history.m_cancel_sent_at = asked_at;
    expect_none(found_in(history));
    history.m_cancel_sent_at = asked_at + span(1);
    expect_one(found_in(history), "LOST", "unknown (410)");
}

TEST(promise_checks, an_ended_job_is_known_until_its_status_expires)
{
    job_history history = completed_job();
    const instant bound = done_at + bounds.m_status_kept;
    history.m_calls.push_back(call_at(bound, status_result::unknown_job));
    expect_none(found_in(history));
    history.m_calls.back() =
        call_at(bound - span(1), status_result::unknown_job);
    expect_one(found_in(history), "LOST", "unknown (410)");
}

TEST(promise_checks, a_job_that_was_not_accepted_may_be_unknown)
{
    job_history history = running_job();
    history.m_accepted_at.reset();
    history.m_calls = {
        call_at(accepted_at + span(5000), status_result::unknown_job)};
    history.m_final_calls.clear();
    expect_none(found_in(history));
}

TEST(promise_checks, a_job_fails_only_after_all_attempts_of_one_task)
{
    const instant reported_at = accepted_at + span(100) * max_attempts;
    job_history history = job_with_failed_runs(max_attempts);
    history.m_final_calls = {state_at(reported_at, job_state::failed)};
    expect_none(found_in(history));
    history.m_final_calls[0].m_ended_at = reported_at - span(1);
    expect_one(found_in(history), "LOST", "reported as failed");
    history = job_with_failed_runs(max_attempts - 1);
    history.m_ended_runs.push_back(
        run_end("j.0.0.1", 1, run_outcome::failed, accepted_at));
    history.m_final_calls = {state_at(reported_at, job_state::failed)};
    expect_one(found_in(history), "LOST", "reported as failed");
}

TEST(promise_checks, only_runs_that_ended_failed_count_as_attempts)
{
    for (const run_outcome outcome :
         {run_outcome::stopped, run_outcome::lease_lapsed,
          run_outcome::gang_broken, run_outcome::gang_missing})
    {
        job_history history = job_with_failed_runs(max_attempts);
        history.m_ended_runs[0].m_outcome = outcome;
        history.m_final_calls = {
            state_at(accepted_at + span(5000), job_state::failed)};
        expect_one(found_in(history), "LOST", "reported as failed");
    }
}

TEST(promise_checks, a_failed_run_that_is_listed_twice_is_one_attempt)
{
    job_history history = job_with_failed_runs(max_attempts - 1);
    history.m_ended_runs.push_back(history.m_ended_runs.back());
    history.m_final_calls = {
        state_at(accepted_at + span(5000), job_state::failed)};
    expect_one(found_in(history), "LOST", "reported as failed");
}

TEST(promise_checks, a_failed_run_of_a_gang_is_one_attempt_of_all_members)
{
    job_history history = job_with_failed_runs(max_attempts);
    history.m_ended_runs[1].m_task = "j.0.0.1";
    history.m_final_calls = {
        state_at(accepted_at + span(5000), job_state::failed)};
    expect_one(found_in(history), "LOST", "reported as failed");
    history.m_job.m_steps[0].m_gang = true;
    expect_none(found_in(history));
    history.m_ended_runs[1].m_run = 1;
    expect_one(found_in(history), "LOST", "reported as failed");
}

TEST(promise_checks, failed_runs_of_a_persistent_task_do_not_end_its_job)
{
    job_history history = job_with_failed_runs(max_attempts + 5);
    history.m_job.m_steps[0].m_persistent = true;
    expect_none(found_in(history));
    history.m_final_calls = {
        state_at(accepted_at + span(5000), job_state::failed)};
    expect_one(found_in(history), "LOST", "reported as failed");
}

TEST(promise_checks, a_job_is_cancelled_only_after_a_cancellation)
{
    job_history history = running_job();
    const instant reported_at = accepted_at + span(5000);
    history.m_final_calls = {state_at(reported_at, job_state::cancelled)};
    history.m_cancel_sent_at = reported_at;
    expect_none(found_in(history));
    history.m_cancel_sent_at = reported_at + span(1);
    expect_one(found_in(history), "LOST", "reported as cancelled");
    history.m_cancel_sent_at.reset();
    expect_one(found_in(history), "LOST", "reported as cancelled");
}

TEST(promise_checks, a_job_is_completed_only_after_its_last_task)
{
    job_history history = completed_job();
    history.m_ended_runs[0].m_at = done_at + span(1);
    expect_one(found_in(history), "MIXED", "completed before");
    history = completed_job();
    history.m_ended_runs[0].m_outcome = run_outcome::stopped;
    expect_one(found_in(history), "MIXED", "completed before");
}

TEST(promise_checks, all_repetitions_of_a_completed_job_are_done)
{
    job_history history = completed_job();
    history.m_job.m_repeats = 2;
    expect_one(found_in(history), "MIXED", "completed before");
    history.m_ended_runs.push_back(
        run_end("j.1.0.0", 1, run_outcome::done, done_at));
    history.m_ended_runs.push_back(
        run_end("j.1.0.1", 1, run_outcome::done, done_at));
    expect_none(found_in(history));
}

TEST(promise_checks, one_done_member_of_a_gang_stands_for_all)
{
    job_history history = completed_job();
    history.m_ended_runs[0].m_outcome = run_outcome::gang_broken;
    expect_one(found_in(history), "MIXED", "completed before");
    history.m_job.m_steps[0].m_gang = true;
    expect_none(found_in(history));
}

TEST(promise_checks, a_job_with_persistent_tasks_is_never_completed)
{
    job_history history = completed_job();
    history.m_job.m_steps[0].m_persistent = true;
    expect_one(found_in(history), "MIXED", "completed before");
}

TEST(promise_checks, a_job_that_nobody_submitted_must_not_be_reported)
{
    job_history history;
    history.m_job.m_id = "j";
    history.m_submitted = false;
    history.m_calls = {call_at(accepted_at, status_result::unknown_job)};
    expect_none(found_in(history));
    history.m_calls.push_back(state_at(accepted_at, job_state::completed));
    expect_one(found_in(history), "MIXED", "nobody submitted it");
}

TEST(promise_checks, an_answer_must_have_a_valid_state)
{
    job_history history = running_job();
    history.m_calls = {call_at(accepted_at, status_result::unreadable)};
    expect_one(found_in(history), "MIXED", "no valid state");
}

TEST(promise_checks, a_final_state_must_not_change)
{
    job_history history = completed_job();
    status_call late = state_at(done_at + span(100), job_state::running);
    late.m_sent_at = done_at;
    history.m_calls.push_back(late);
    expect_none(found_in(history)); // The two calls overlap.
    history.m_calls.back().m_sent_at = done_at + span(1);
    expect_one(found_in(history), "MIXED",
               "reported as running, 100 ms after a report as completed");
    history = completed_job();
    history.m_cancel_sent_at = done_at;
    history.m_final_calls[0].m_state = job_state::cancelled;
    expect_one(found_in(history), "MIXED", "reported as cancelled");
}

TEST(promise_checks, the_state_may_change_before_a_final_state)
{
    job_history history = completed_job();
    history.m_calls.push_back(
        state_at(accepted_at + span(1500), job_state::queued));
    expect_none(found_in(history));
}

TEST(promise_checks, a_job_must_be_known_at_the_end)
{
    job_history history = completed_job();
    history.m_final_calls = {
        call_at(accepted_at + span(9000), status_result::unknown_job)};
    expect_one(found_in(history), "LOST", "unknown (410) at the end");
    history.m_cancel_sent_at = accepted_at + span(8000);
    expect_none(found_in(history));
    history.m_cancel_sent_at.reset();
    history.m_final_calls = {
        call_at(done_at + bounds.m_status_kept, status_result::unknown_job)};
    expect_none(found_in(history));
}

TEST(promise_checks, a_job_must_be_answered_in_time_at_the_end)
{
    job_history history = completed_job();
    status_call& call = history.m_final_calls[0];
    call.m_sent_at = call.m_ended_at - bounds.m_caller_time;
    expect_none(found_in(history));
    call.m_sent_at = call.m_sent_at - span(1);
    expect_one(found_in(history), "LOST", "no answer in time at the end");
}

TEST(promise_checks, one_of_the_attempts_at_the_end_must_get_an_answer)
{
    job_history history = completed_job();
    const status_call answered = history.m_final_calls[0];
    history.m_final_calls = {
        call_at(accepted_at + span(8000), status_result::rejected),
        call_at(accepted_at + span(8100), status_result::no_response),
        call_at(accepted_at + span(8200), status_result::not_connected)};
    expect_one(found_in(history), "LOST", "3 attempts");
    history.m_final_calls.push_back(answered);
    expect_none(found_in(history));
    history.m_final_calls.clear();
    expect_one(found_in(history), "LOST", "0 attempts");
}

namespace
{

/// Jobs that were accepted long before and have not begun.
std::vector<job_history> waiting_jobs(int count)
{
    job_history history = running_job();
    history.m_begun_at.reset();
    return std::vector<job_history>(static_cast<std::size_t>(count), history);
}

/// An answer that is given over the bound after the jobs were accepted.
pending_answer answer_with(int pending)
{
    pending_answer answer;
    answer.m_queue = "q";
    answer.m_process = 4;
    answer.m_sent_at =
        accepted_at + bounds.m_visible + bounds.m_pending_age + span(1);
    answer.m_ended_at = answer.m_sent_at + span(20);
    answer.m_pending = pending;
    return answer;
}

} // namespace

TEST(promise_checks, half_of_the_waiting_jobs_must_be_counted_as_pending)
{
    const std::vector<job_history> jobs = waiting_jobs(10);
    expect_none(pending_violations(answer_with(5), jobs, bounds));
    expect_one(pending_violations(answer_with(4), jobs, bounds), "MIXED",
               "process 4 reports 4 pending jobs of queue q, and 10 have not");
    pending_answer answer = answer_with(4);
    answer.m_in_touch = false;
    expect_none(pending_violations(answer, jobs, bounds));
}

TEST(promise_checks, a_job_need_not_be_counted_up_to_the_bound)
{
    pending_answer answer = answer_with(0);
    expect_one(pending_violations(answer, waiting_jobs(1), bounds), "MIXED",
               "1 have not begun");
    answer.m_sent_at = answer.m_sent_at - span(1);
    expect_none(pending_violations(answer, waiting_jobs(1), bounds));
}

TEST(promise_checks, only_waiting_jobs_of_the_queue_are_counted_as_pending)
{
    const pending_answer answer = answer_with(0);
    std::vector<job_history> jobs = waiting_jobs(6);
    jobs[0].m_job.m_queue = "other";
    jobs[1].m_job.m_first_due = accepted_at;
    jobs[2].m_job.m_repeats = 2;
    jobs[3].m_begun_at = answer.m_ended_at;
    jobs[4].m_cancel_sent_at = answer.m_ended_at;
    jobs[5].m_accepted_at.reset();
    expect_none(pending_violations(answer, jobs, bounds));
    jobs[3].m_begun_at = answer.m_ended_at + span(1);
    expect_one(pending_violations(answer, jobs, bounds), "MIXED",
               "1 have not begun");
}

} // namespace kingcuprudder::soak
