#ifndef KINGCUPRUDDER_DISPATCH_JOB_TABLE_HPP
#define KINGCUPRUDDER_DISPATCH_JOB_TABLE_HPP

#include <kingcuprudder/dispatch/duration_model.hpp>
#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>
#include <kingcuprudder/dispatch/run_progress.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

enum class run_phase
{
    assigned,   ///< Recorded or about to be; no order has been sent.
    sent,       ///< The start was sent; no answer yet.
    unverified, ///< Recorded by an earlier scheduler; not seen yet.
    confirmed,  ///< The worker has it.
    stopping,   ///< It is to be stopped.
};

/// The newest run of a task while a worker holds it or may hold it.
struct active_run
{
    int m_number = 0;
    std::string m_worker;
    run_phase m_phase = run_phase::assigned;
    instant m_assigned_at;
    /// The record version that must be stored before the start is sent.
    std::int64_t m_required_version = 0;
    instant m_sent_at;
    int m_send_count = 0;
    /// A report sent to the worker from this time on lists the run if the
    /// worker has it.
    std::optional<instant> m_listed_from;
    /// When the worker was first known to work on it.
    std::optional<instant> m_started_at;
    run_progress m_progress;
    /// When the stop was last sent.
    std::optional<instant> m_stop_sent_at;
    /// The checkpoint that the start carries.
    std::string m_start_checkpoint;
};

struct task_entry
{
    task_progress m_progress;
    std::optional<active_run> m_active;

    bool is_waiting() const { return !m_progress.m_done && !m_active; }
};

/// A job with its tasks: [repetition][step][task].
struct job_entry
{
    job_submission m_submission;
    /// The policy of its queue now.
    queue_policy m_policy;
    std::vector<std::vector<std::vector<task_entry>>> m_tasks;
    job_state m_state = job_state::queued;
    bool m_cancelled = false;
    /// When the job was accepted, on the dispatcher's clock.
    instant m_accepted_at;
    std::int64_t m_revision = 0; ///< Of the stored record.
    std::int64_t m_version = 1;  ///< Of the state in memory.
    std::int64_t m_stored_version = 1;
    /// The place in the order of writes; 0 when there is nothing to store.
    std::int64_t m_write_sequence = 0;
    /// The longest chain of predicted work over all steps.
    span m_critical_path;
    /// The longest chain that starts with a step, by step.
    std::vector<span> m_critical_path_from;
    /// The predicted time that a task works, by step.
    std::vector<span> m_predicted_durations;
    instant m_predicted_at;

    /// Sets the predicted times and the chains that follow from them, unless
    /// that was done a moment ago.
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
    bool has_task(const task_ref& ref) const;
};

/// The live jobs and which of them must be stored.
class job_table
{
public:
    /// Adds an accepted job. The progress is empty for a new one.
    job_entry& add(const job_submission& submission,
                   const std::optional<job_progress>& progress,
                   std::int64_t revision, instant accepted_at);

    job_entry* find(const std::string& id);
    /// The job of a task that exists, or null.
    job_entry* find_task(const task_ref& ref);

    /// Marks a change that must be stored.
    void mark_changed(job_entry& job);

    /// Takes the records that have waited longest to be stored. The cost of a
    /// record is the number of transaction entries that it needs.
    std::vector<job_write> take_writes(std::size_t most_entries);
    /// Puts a record back that could not be stored.
    void write_failed(const std::string& id);
    /// A record was stored. Forgets a job that has ended and needs no more.
    void stored(const std::string& id, std::int64_t version,
                std::int64_t revision);

    std::map<std::string, job_entry>& jobs() { return m_jobs; }
    const std::map<std::string, job_entry>& jobs() const { return m_jobs; }
    bool has_writes() const { return !m_pending_writes.empty(); }

private:
    job_progress progress_of(const job_entry& job) const;

    void enqueue_write(job_entry& job);

    std::map<std::string, job_entry> m_jobs;
    /// Jobs to store by turn, so that none waits behind those that change
    /// again and again.
    std::map<std::int64_t, std::string> m_pending_writes;
    std::int64_t m_last_write_sequence = 0;
};

} // namespace kingcuprudder::dispatch

#endif
