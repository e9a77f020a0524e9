#ifndef KINGCUPRUDDER_DISPATCH_DISPATCHER_HPP
#define KINGCUPRUDDER_DISPATCH_DISPATCHER_HPP

#include <kingcuprudder/dispatch/decision_log.hpp>
#include <kingcuprudder/dispatch/duration_model.hpp>
#include <kingcuprudder/dispatch/job_table.hpp>
#include <kingcuprudder/dispatch/service_configuration.hpp>
#include <kingcuprudder/dispatch/urgent_headroom.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>
#include <kingcuprudder/dispatch/worker_table.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// Times that the platform sets.
struct dispatch_limits
{
    span m_worker_lease = span(6000);  ///< The longest lease of a worker.
    span m_stop_timeout = span(400);   ///< The longest a stop takes.
    span m_reclaim_bound = span(2900); ///< A guaranteed job has begun by then.
    double m_remote_data_slowdown = 3; ///< Slowdown away from the data.
    span m_restore_time = span(100);   ///< To go on from a checkpoint.

    friend bool operator==(const dispatch_limits&,
                           const dispatch_limits&) = default;
};

/// Decides which task runs where. Holds no I/O: it is told what happened and
/// collects orders and records. A run is recorded before its start is sent, an
/// end is recorded before the worker may forget it, and a task gets a new run
/// only when the earlier one is known to be over.
///
/// Times are instants of one steady clock. All calls come from one thread.
class dispatcher
{
public:
    dispatcher(const dispatch_limits& limits, decision_log log);

    /// Begins the term of this scheduler. Workers that recorded runs may hold
    /// them until their lease has run out.
    void begin_term(instant now);

    void configure(const service_configuration& configuration);
    /// Adds a job. The progress is empty when it was accepted just now; the
    /// wall time dates the acceptance.
    void add_job(const job_submission& submission,
                 const std::optional<job_progress>& progress,
                 std::int64_t revision, instant now, instant wall_now);
    bool has_job(const std::string& id);
    /// Cancels the job, or remembers that it must be cancelled when it comes.
    void cancel_job(const std::string& id, instant now);

    /// The platform's list of workers names this one.
    void worker_listed(const worker_description& description, instant now);
    void worker_unlisted(const std::string& id, instant now);

    /// A renewal that extends the worker's lease was sent.
    void renewal_sent(const std::string& id, instant sent);
    /// The answer to a renewal that was sent at the given time.
    void renewal_answered(const std::string& id, const worker_report& report,
                          instant sent, instant now);
    void renewal_failed(const std::string& id, instant now);

    void start_finished(const start_order& order, order_outcome outcome,
                        instant now);
    void stop_finished(const stop_order& order, order_outcome outcome,
                       instant now);

    std::vector<job_write> take_writes(std::size_t most_entries);
    void write_stored(const std::string& job, std::int64_t version,
                      std::int64_t revision);
    void write_failed(const std::string& job);
    /// Another write of the record was found to have taken effect.
    void update_revision(const std::string& job, std::int64_t revision);
    bool has_writes() const { return m_jobs.has_writes(); }

    /// Assigns waiting tasks to workers and chooses runs to stop.
    void plan(instant now, instant wall_now);
    /// Collects the orders that may be sent now.
    dispatch_effects collect_orders(instant now);

    std::vector<renewal_request> renewals() const;
    /// Accepted jobs that are due and have not begun, by queue.
    std::map<std::string, int> waiting_by_queue() const;

    const std::map<std::string, worker_entry>& workers() const
    {
        return m_workers;
    }
    const std::map<std::string, job_entry>& jobs() const
    {
        return m_jobs.jobs();
    }

private:
    friend class planner;

    worker_entry& find_or_add_worker(const std::string& id);
    /// Whether the worker holds runs of unknown size that must end first.
    bool has_unrecorded_runs(const std::string& worker) const;
    /// When a lease that was renewed at this time has surely run out.
    instant lease_end(instant sent) const;
    /// Sets the policy in force for the job.
    void update_policy(job_entry& job) const;

    void assign(job_entry& job, const task_ref& ref, worker_entry& worker,
                int run, instant now);
    void add_allocated(worker_entry& worker, const job_step& step);
    void begin_stopping(job_entry& job, const task_ref& ref,
                        const std::string& reason, instant now);
    /// The run is over and occupies nothing; the task waits again unless it
    /// is done.
    void release_run(job_entry& job, const task_ref& ref,
                     const std::string& reason, instant now);
    void stop_gang_members(job_entry& job, const task_ref& ref,
                           const std::string& reason, instant now);
    void stop_job(job_entry& job, const std::string& reason, instant now);
    void complete_if_done(job_entry& job, instant now);
    void release_worker_runs(worker_entry& worker, const std::string& reason,
                             instant now);
    void begin_incarnation(worker_entry& worker, std::int64_t started,
                           instant now);

    /// A worker is known to have begun the run.
    void mark_started(job_entry& job, active_run& run, instant now);
    /// Whether nothing but its worker can make a run slow.
    bool has_comparable_speed(const job_entry& job, const task_ref& ref);
    void update_progress(job_entry& job, const task_ref& ref, int percent,
                         instant now);
    /// Stops runs that are likely to end sooner elsewhere and avoids a worker
    /// on which nothing goes on.
    void stop_slow_runs(worker_entry& worker, instant now);
    void apply_running(worker_entry& worker, const running_report& report,
                       instant now);
    void apply_completion(worker_entry& worker, const completion_report& report,
                          instant now);
    /// Learns from a run that worked from its beginning to its end.
    void record_duration(const job_entry& job, const task_ref& ref,
                         instant now);
    void apply_done(job_entry& job, const task_ref& ref, int run, instant now);
    void apply_failure(job_entry& job, const task_ref& ref, int run,
                       worker_entry& worker, instant now);
    void release_unlisted_runs(worker_entry& worker,
                               const worker_report& report, instant sent,
                               instant now);
    void advance_acknowledged(worker_entry& worker);

    void expire_leases(instant now);
    void release_stuck_assignments(instant now);
    void send_starts(instant now, dispatch_effects& effects);
    bool has_free_capacity(job_entry& job, const task_ref& ref);
    /// False when the start must wait for its record or for room.
    bool send_start(job_entry& job, const task_ref& ref, instant now,
                    dispatch_effects& effects);
    void send_stops(instant now, dispatch_effects& effects);

    dispatch_limits m_limits;
    decision_log m_log;
    service_configuration m_configuration;
    duration_model m_durations;
    urgent_headroom m_urgent_headroom;
    job_table m_jobs;
    std::map<std::string, worker_entry> m_workers;
    /// Tasks whose start must be sent, or sent again.
    std::set<task_ref> m_unsent_starts;
    /// Workers with ends that are applied but not stored.
    std::set<std::string> m_workers_awaiting_store;
    /// Runs that no record explains and that must be stopped.
    std::map<std::pair<std::string, run_ref>, std::optional<instant>>
        m_unrecorded_runs;
    /// Cancelled before they were added.
    std::set<std::string> m_pending_cancellations;
    instant m_term_start;
    bool m_superseded = false;
};

} // namespace kingcuprudder::dispatch

#endif
