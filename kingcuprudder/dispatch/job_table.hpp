#ifndef KINGCUPRUDDER_DISPATCH_JOB_TABLE_HPP
#define KINGCUPRUDDER_DISPATCH_JOB_TABLE_HPP

#include <kingcuprudder/dispatch/duration_model.hpp>
#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>
#include <kingcuprudder/dispatch/restart_backoff.hpp>
#include <kingcuprudder/dispatch/run_progress.hpp>
#include <kingcuprudder/dispatch/stop_attempts.hpp>
#include <kingcuprudder/dispatch/wait_reason.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The phase of a task's newest run.
enum class run_phase
{
    assigned,   ///< Placed on a worker; no start has been sent.
    sent,       ///< The start was sent and has not been answered.
    unverified, ///< Recorded in an earlier term; not yet reported.
    confirmed,  ///< The worker has accepted or reported the run.
    stopping,   ///< The run is being stopped.
};

std::string_view to_string(run_phase phase);

/// The newest run of a task while a worker holds it or may hold it.
struct active_run
{
    int m_number = 0;
    std::string m_worker;
    run_phase m_phase = run_phase::assigned;
    instant m_assigned_at;
    /// The record version that must be stored before the start is sent.
    std::int64_t m_required_version = 0;
    /// When the start first waited for capacity only, as its record was stored.
    std::optional<instant> m_ready_at;
    /// When the start was sent first; empty if an earlier leader sent it.
    std::optional<instant> m_first_sent_at;
    int m_send_count = 0;
    /// The starts without an answer. The worker may still execute them.
    int m_unanswered_sends = 0;
    /// The fencing token of the last start.
    std::int64_t m_fence = 0;
    /// Reports that are requested after this time list the run if the worker
    /// has it; an unlisted run has ended.
    std::optional<instant> m_listed_from;
    /// The time of the first answer or report that confirmed the run.
    std::optional<instant> m_started_at;
    /// It is being stopped to be started on another worker.
    bool m_moves = false;
    /// The part of the task's work that is done, by the last report.
    int m_percent = 0;
    run_progress m_progress;
    /// The run, of a persistent task, has lasted so long that it counts as a
    /// success of its worker.
    bool m_has_succeeded = false;
    stop_attempts m_stops;
    /// The checkpoint from which the run resumes; empty for none.
    std::string m_start_checkpoint;
};

struct task_entry
{
    task_progress m_progress;
    std::optional<active_run> m_active;
    /// The addresses of the lost workers that this leader attributed to it.
    std::set<std::string> m_lost_addresses;
    /// How many of these losses were in each rack.
    std::map<std::string, int> m_losses_by_rack;
    /// The sum of the shares of suspicion from the losses in m_crashes. What an
    /// earlier leader attributed counts fully.
    double m_suspicion = 0;
    /// How many of its runs this leader stopped as too slow.
    int m_slow_stops = 0;
    /// When the task's last run ended, or when this leader read the task.
    instant m_waiting_since;
    /// Delays the restarts of a persistent task.
    restart_backoff m_backoff;
    /// When it was last logged that the suspected task waits.
    instant m_wait_logged_at;

    bool is_waiting() const { return !m_progress.m_done && !m_active; }
    /// Returns how likely it is that the task crashes its worker, from 0 to 1.
    double suspicion() const
    {
        return m_progress.m_crashes.any() ? std::min(1.0, m_suspicion) : 0;
    }
};

/// A job with its tasks: [repetition][step][task].
struct job_entry
{
    job_submission m_submission;
    /// The current policy of the job's queue.
    queue_policy m_policy;
    std::vector<std::vector<std::vector<task_entry>>> m_tasks;
    job_state m_state = job_state::queued;
    bool m_cancelled = false;
    /// The time of acceptance on the dispatcher's steady clock.
    instant m_accepted_at;
    std::int64_t m_revision = 0; ///< The revision of the stored record.
    std::int64_t m_version = 1;  ///< The version of the state in memory.
    std::int64_t m_stored_version = 1;
    /// The position in the FIFO queue of writes; 0 for no pending write.
    std::int64_t m_write_sequence = 0;
    /// The store did not take the record when it was last written.
    bool m_record_refused = false;
    /// The length of the critical path over all steps, by predicted durations.
    span m_critical_path;
    /// The length of the critical path from each step.
    std::vector<span> m_critical_path_from;
    /// The predicted duration of a task, by step.
    std::vector<span> m_predicted_durations;
    instant m_predicted_at;
    job_idleness m_idleness;

    /// Updates the predicted durations and the critical paths, unless they are
    /// recent.
    void refresh_prediction(const duration_model& model, instant now);

    task_entry& task(const task_ref& ref)
    {
        return m_tasks[ref.m_repeat][ref.m_step][ref.m_index];
    }
    std::vector<task_entry>& step_tasks(const task_ref& ref)
    {
        return m_tasks[ref.m_repeat][ref.m_step];
    }
    const job_step& step(const task_ref& ref) const
    {
        return m_submission.m_steps[ref.m_step];
    }
    /// Returns the longer one of the task's declared and predicted durations.
    span longest_expected(const task_ref& ref) const;
    bool has_task(const task_ref& ref) const;
};

/// The active jobs and the pending writes of their records.
class job_table
{
public:
    /// Adds an accepted job. The progress is empty for a new one.
    job_entry& add(const job_submission& submission,
                   const std::optional<job_progress>& progress,
                   std::int64_t revision, instant accepted_at);

    job_entry* find(const std::string& id);
    /// Returns the job of the task, or null if there is no such task.
    job_entry* find_task(const task_ref& ref);

    /// Advances the job's version and enqueues a write of its record.
    void mark_changed(job_entry& job);

    /// Removes pending writes in FIFO order, up to the given number of
    /// transaction entries. The record of an ended job needs more entries.
    /// Records that the filter does not select stay where they are.
    std::vector<job_write> take_writes(std::size_t max_entries,
                                       const write_filter& may_take);
    /// Enqueues a record again after its write failed.
    void write_failed(const std::string& id);
    /// Enqueues a record again that the store did not take for its own sake.
    void write_refused(const std::string& id);
    /// Applies a successful write. Removes the job if it has ended, has no
    /// active run and its newest version is stored.
    void stored(const std::string& id, std::int64_t version,
                std::int64_t revision);

    std::map<std::string, job_entry>& jobs() { return m_jobs; }
    const std::map<std::string, job_entry>& jobs() const { return m_jobs; }
    bool has_writes() const { return !m_pending_writes.empty(); }
    std::size_t waiting_writes() const { return m_pending_writes.size(); }

private:
    job_progress progress_of(const job_entry& job) const;

    void enqueue_write(job_entry& job);

    std::map<std::string, job_entry> m_jobs;
    /// The jobs with pending writes in FIFO order, so that jobs that change
    /// often do not delay the writes of others.
    std::map<std::int64_t, std::string> m_pending_writes;
    std::int64_t m_last_write_sequence = 0;
};

} // namespace kingcuprudder::dispatch

#endif
