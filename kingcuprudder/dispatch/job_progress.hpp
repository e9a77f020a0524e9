#ifndef KINGCUPRUDDER_DISPATCH_JOB_PROGRESS_HPP
#define KINGCUPRUDDER_DISPATCH_JOB_PROGRESS_HPP

#include <kingcuprudder/dispatch/crash_evidence.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder::dispatch
{

enum class job_state
{
    queued,    ///< Accepted, no task has started.
    running,   ///< A task has started.
    completed, ///< All tasks are done.
    failed,    ///< A task failed in all its attempts or crashes its workers.
    cancelled, ///< The caller cancelled it.
};

std::string_view to_string(job_state state);
std::optional<job_state> job_state_from_string(std::string_view name);

/// Returns whether the job has ended and needs no more work.
bool is_final(job_state state);

/// The stored progress of one task.
struct task_progress
{
    bool m_done = false;
    /// The number of the newest run; 0 for none.
    int m_last_run = 0;
    /// The worker that may still hold the newest run; empty if the task waits
    /// or is done.
    std::string m_worker;
    /// The incarnation of that worker: the start time of its process.
    std::int64_t m_worker_incarnation = 0;
    /// The numbers of the failed runs, fewer than the maximum of attempts.
    /// Empty for tasks that last, whose attempts have no maximum.
    std::vector<int> m_failed_runs;
    /// The newest checkpoint; empty for none.
    std::string m_checkpoint;
    /// The lost workers that are attributed to the task.
    crash_evidence m_crashes = {};
    /// The workers whose process ended under the task, whatever the reason,
    /// except for repeated losses of one machine while the task was at work.
    int m_workers_ended = 0;
    /// The last run that ended with its worker and was counted.
    int m_lost_run = 0;
    /// The address at which m_worker had answered the leader when the run was
    /// assigned; empty in records of earlier versions.
    std::string m_worker_address = {};

    /// Returns whether the task must not be started again, as it crashes its
    /// workers. It may crash five of them at most. Tasks that last are started
    /// again nevertheless.
    bool crashes_workers() const;

    friend bool operator==(const task_progress&,
                           const task_progress&) = default;
};

/// The stored progress of a job: [repetition][step][task].
struct job_progress
{
    job_state m_state = job_state::queued;
    std::string m_account;
    std::vector<std::vector<std::vector<task_progress>>> m_tasks;

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
