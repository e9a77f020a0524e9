#ifndef SOAK_PROMISE_CHECKS_HPP
#define SOAK_PROMISE_CHECKS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>

#include <soak/promise_bounds.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// How a status call ended for its caller.
enum class status_result
{
    state,         ///< The answer has the state of the job.
    unknown_job,   ///< No such job exists (status 410).
    rejected,      ///< The process rejected the call (429, 503).
    unreadable,    ///< The answer has no valid state.
    no_response,   ///< The call was sent and got no complete answer.
    not_connected, ///< Nothing was sent.
};

/// A status call for one job. All instants are of one steady clock.
struct status_call
{
    int m_process = 0; ///< The index of the process.
    instant m_sent_at;
    /// When the answer was complete or the call had failed.
    instant m_ended_at;
    status_result m_result = status_result::no_response;
    /// The state in the answer, if there is one.
    dispatch::job_state m_state = dispatch::job_state::queued;
    /// Whether the process was free of disruption for the time before that the
    /// platform requires (contact).
    bool m_in_touch = true;

    friend bool operator==(const status_call&, const status_call&) = default;
};

/// The end of a run as its worker saw it.
struct ended_run
{
    std::string m_task; ///< "job.repeat.step.index".
    int m_run = 0;
    dispatch::run_outcome m_outcome = dispatch::run_outcome::done;
    instant m_at;

    friend bool operator==(const ended_run&, const ended_run&) = default;
};

/// What callers and workers saw of a job.
struct job_history
{
    /// The job; its id, queue, steps, repetitions and maximum number of
    /// attempts are used, and whether it has a due time.
    dispatch::job_submission m_job;
    /// Whether any caller sent the job.
    bool m_submitted = true;
    /// When a caller received the acknowledgement; empty if none did.
    std::optional<instant> m_accepted_at;
    /// When a caller first sent a cancellation; empty if none did.
    std::optional<instant> m_cancel_sent_at;
    /// When the first task started; empty if none did.
    std::optional<instant> m_begun_at;
    std::vector<ended_run> m_ended_runs;
    /// The status calls while the deployment was in use, in any order.
    std::vector<status_call> m_calls;
    /// The attempts to read the state at the end, after recovery.
    std::vector<status_call> m_final_calls;

    friend bool operator==(const job_history&, const job_history&) = default;
};

/// An answer with the number of pending jobs of a queue.
struct pending_answer
{
    std::string m_queue;
    int m_process = 0; ///< The index of the process.
    instant m_sent_at; ///< When the call was sent.
    instant m_ended_at;
    int m_pending = 0;
    /// Whether the process was in touch; see status_call.
    bool m_in_touch = true;

    friend bool operator==(const pending_answer&,
                           const pending_answer&) = default;
};

/// Returns a message if a process in touch answered that an accepted job that
/// nobody had cancelled is unknown, later than m_visible after the
/// acknowledgement and not yet m_status_kept after the job's end (LOST).
std::vector<std::string> unknown_job_violations(const job_history& history,
                                                const promise_bounds& bounds);

/// Returns a message if an accepted job was reported as failed before a task,
/// or a gang, had failed in its maximum number of attempts, and one if it was
/// reported as cancelled before a cancellation was sent (LOST). Only runs that
/// ended as failed are attempts; persistent tasks have no maximum.
std::vector<std::string> false_end_violations(const job_history& history);

/// Returns a message if a job was reported as completed before all of its
/// tasks were done, if it was reported though nobody submitted it, and if an
/// answer had no valid state (MIXED).
std::vector<std::string> false_state_violations(const job_history& history);

/// Returns a message if a call that was sent after a final state had been
/// reported got another state (MIXED).
std::vector<std::string> state_change_violations(const job_history& history);

/// Returns a message if an accepted job was unknown at the end, or if none of
/// the final calls got an answer within m_caller_time of its sending (LOST). A
/// cancelled job and one that ended m_status_kept before may be unknown. The
/// states in the answers are checked by the functions above.
std::vector<std::string> final_state_violations(const job_history& history,
                                                const promise_bounds& bounds);

/// Returns the messages of all of the checks of one job above, at most one for
/// each kind of violation.
std::vector<std::string> promise_violations(const job_history& history,
                                            const promise_bounds& bounds);

/// Returns a message if a process in touch answered with under half of the
/// jobs of the queue that were accepted over m_visible and m_pending_age before
/// and have not begun (MIXED). Jobs with a due time and jobs for which a
/// cancellation was sent do not count.
std::vector<std::string>
pending_violations(const pending_answer& answer,
                   const std::vector<job_history>& jobs,
                   const promise_bounds& bounds);

} // namespace kingcuprudder::soak

#endif
