#ifndef KINGCUPRUDDER_DISPATCH_FAILURE_HISTORY_HPP
#define KINGCUPRUDDER_DISPATCH_FAILURE_HISTORY_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/task_ref.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace kingcuprudder::dispatch
{

/// What a failed run is blamed on.
enum class failure_cause
{
    unknown, ///< Too little is known yet.
    worker,  ///< Tasks of other jobs failed on the worker too; it is avoided.
    task,    ///< The task failed on more workers than the worker failed jobs.
};

/// A worker that failed several jobs gets no new work for this time.
constexpr span failing_worker_quarantine = span(4000);

/// The failed runs by worker and by task, and which of the two they are blamed
/// on: a task that fails on one worker after the other is bad, a worker that
/// fails one job after the other is. Each failure is blamed on the side that
/// has more of them. The blame is computed from the present failures, so that
/// it is withdrawn from a worker as soon as a task turns out to be bad.
///
/// A gang counts as one task, with the index 0. It performs no I/O.
class failure_history
{
public:
    /// Adds a failed run and returns what it is blamed on.
    failure_cause add(const std::string& worker, const task_ref& task,
                      instant now);
    /// Notes that a run on the worker succeeded. The earlier failures there
    /// count no longer, but the worker is avoided until its time is over.
    void worker_succeeded(const std::string& worker);
    /// Notes that a run of the task succeeded, so that later failures do not
    /// add to the earlier ones.
    void task_succeeded(const task_ref& task);
    /// Notes that the worker's process is a new one.
    void worker_restarted(const std::string& worker);
    /// Notes that the job of this task has failed, as the task has used its
    /// attempts. If they failed on several workers, the job is to blame, unless
    /// more jobs than that failed on a worker.
    void attempts_used(const task_ref& task);
    /// Notes that the job has ended for another reason.
    void job_ended(const std::string& job);

    /// Returns whether the worker fails the tasks of several jobs and gets no
    /// new work.
    bool is_avoided(const std::string& worker, instant now) const;
    /// Returns whether a recent failure may be the worker's fault, so that it
    /// is used after all other workers.
    bool failed_recently(const std::string& worker, instant now) const;
    /// Returns how many jobs' failures since its last success count against the
    /// worker.
    std::size_t failed_jobs(const std::string& worker) const;

private:
    /// The time of the last failure, by task.
    using failures = std::map<task_ref, instant>;

    struct worker_record
    {
        failures m_recent;
        /// The failures since the worker's last success.
        failures m_since_success;
        /// The failures for which the worker is avoided.
        failures m_avoided_for;
        instant m_avoided_until;

        void erase(const task_ref& task);
    };

    /// Returns the number of workers on which the task has failed since its
    /// last success, up to a maximum.
    std::size_t failed_workers(const task_ref& task) const;
    /// Returns the jobs to whose tasks these failures on one worker are not
    /// attributed.
    std::set<std::string> blaming_jobs(const failures& on_worker) const;
    /// Removes the failures of the task that are not held against a worker, and
    /// the workers on which it has failed.
    void settle(const task_ref& task);
    void discard_old(instant now);

    std::map<std::string, worker_record> m_workers;
    /// The workers on which each task has failed since its last success.
    std::map<task_ref, std::set<std::string>> m_failed_on;
};

} // namespace kingcuprudder::dispatch

#endif
