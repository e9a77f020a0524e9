#ifndef KINGCUPRUDDER_DISPATCH_DISPATCHER_HPP
#define KINGCUPRUDDER_DISPATCH_DISPATCHER_HPP

#include <kingcuprudder/dispatch/call_result.hpp>
#include <kingcuprudder/dispatch/decision_log.hpp>
#include <kingcuprudder/dispatch/duration_model.hpp>
#include <kingcuprudder/dispatch/failure_history.hpp>
#include <kingcuprudder/dispatch/job_table.hpp>
#include <kingcuprudder/dispatch/run_end_evidence.hpp>
#include <kingcuprudder/dispatch/service_configuration.hpp>
#include <kingcuprudder/dispatch/stop_attempts.hpp>
#include <kingcuprudder/dispatch/unrecorded_runs.hpp>
#include <kingcuprudder/dispatch/urgent_headroom.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>
#include <kingcuprudder/dispatch/worker_loss.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>
#include <kingcuprudder/dispatch/worker_table.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// Time limits and slowdowns that the platform sets.
struct dispatch_limits
{
    /// The maximum duration of a worker's lease.
    span m_worker_lease = span(6000);
    span m_stop_timeout = span(400); ///< The maximum duration of a stop.
    /// The interval at which workers renew their entry in the worker list; 0 if
    /// it is not known.
    span m_heartbeat_interval = span(1500);
    /// The time within which a guaranteed job must start.
    span m_reclaim_bound = span(2900);
    /// The run time factor of a task outside the rack of its data.
    double m_remote_data_slowdown = 3;
    /// The time to restore a checkpoint.
    span m_restore_time = span(100);

    friend bool operator==(const dispatch_limits&,
                           const dispatch_limits&) = default;
};

/// Assigns tasks to workers. It performs no I/O: the caller reports events and
/// fetches the orders to send and the records to store. A run is stored before
/// its start is sent, a completion is stored before it is acknowledged to the
/// worker, and a task gets a new run only after its previous run has ended.
///
/// All times are instants of one steady clock, except where they are called
/// wall times. The class is not thread-safe.
class dispatcher
{
public:
    /// The revision of a cancellation that is newer than any job.
    static constexpr std::int64_t newest_revision =
        std::numeric_limits<std::int64_t>::max();

    dispatcher(const dispatch_limits& limits, decision_log log);

    /// Begins a term of leadership with its fencing token. Workers may hold the
    /// recorded runs of an earlier term until their lease has expired.
    void begin_term(instant now, std::int64_t fence);
    /// Returns the fencing token that this leader must reach. A start that was
    /// not answered may be carried out late by the worker's next process,
    /// unless that process has accepted a higher token before.
    std::int64_t required_fence() const { return m_required_fence; }
    /// Returns the fencing token of the orders.
    std::int64_t fence() const { return m_fence; }
    /// Sets the fencing token of the orders from now on.
    void fence_raised(std::int64_t fence);

    /// Tells that all events up to this time have been reported. A lease is
    /// over only if its end is earlier, as the renewal may not be reported yet.
    /// If this is never called, events are reported without delay.
    void events_applied(instant until) { m_events_applied_until = until; }

    void configure(const service_configuration& configuration);
    /// Adds a job. The progress is empty for a job without a stored record. The
    /// age of the job is computed from the wall time.
    void add_job(const job_submission& submission,
                 const std::optional<job_progress>& progress,
                 std::int64_t revision, instant now, instant wall_now);
    bool has_job(const std::string& id);
    /// Cancels the job. If the job has not been added yet, it is cancelled as
    /// soon as it is added, unless its record is newer than the cancellation.
    void cancel_job(const std::string& id, instant now,
                    std::int64_t revision = newest_revision);
    /// Forgets a cancellation whose job has not been added.
    void forget_cancellation(const std::string& id, std::int64_t revision);

    /// Adds a worker of the platform's worker list or updates it.
    void worker_listed(const worker_description& description, instant now);
    /// The worker's entry cannot be used.
    void worker_unlisted(const std::string& id, instant now);
    /// The worker's entry was removed: the worker has left or was silent.
    void worker_removed(const std::string& id, instant now);

    /// Returns whether the worker is called at this address now. Results of
    /// renewals at another address must not be applied.
    bool is_called_at(const std::string& worker,
                      const std::string& address) const;
    /// Extends the worker's lease for a renewal that was sent.
    void renewal_sent(const std::string& id, instant sent);
    /// Applies the answer to a renewal that was sent at the given time.
    void renewal_answered(const std::string& id, const worker_report& report,
                          instant sent, instant now);
    /// A renewal was not answered. Without the time at which it was sent, its
    /// failure does not show that a worker has left.
    void renewal_failed(const std::string& id, const call_result& result,
                        instant now, std::optional<instant> sent = {});

    void start_finished(const start_order& order, const call_result& result,
                        instant now);
    void stop_finished(const stop_order& order, order_outcome outcome,
                       instant now);

    std::vector<job_write> take_writes(std::size_t max_entries);
    /// Takes only the records that the filter selects.
    std::vector<job_write> take_writes(std::size_t max_entries,
                                       const write_filter& may_take);
    void write_stored(const std::string& job, std::int64_t version,
                      std::int64_t revision);
    void write_failed(const std::string& job);
    /// Notes that the store does not take the job's record for its own sake.
    /// Until it takes a later one, the job gets no new runs, and its ends do
    /// not keep a worker's newer ones from being acknowledged.
    void write_refused(const std::string& job, instant now);
    /// Sets the revision of the stored record after a conflicting write.
    void update_revision(const std::string& job, std::int64_t revision);
    bool has_writes() const { return m_jobs.has_writes(); }
    /// Returns the number of records that take_writes() can still return.
    std::size_t waiting_writes() const { return m_jobs.waiting_writes(); }

    /// Returns whether a job, a worker or free capacity has changed since the
    /// last planning. Without such a change planning finds the same as before,
    /// but for what depends on the time: due times, quarantines, objectives.
    bool has_changed_since_planning() const { return m_changed; }
    /// Assigns waiting tasks to workers and selects runs to preempt.
    void plan(instant now, instant wall_now);
    /// Returns the orders to send now.
    dispatch_effects collect_orders(instant now);

    /// Returns the renewal requests that may have changed since the last call.
    /// A request without an address means that the worker needs no session any
    /// more. A new clock reading alone is no change; it comes with the next
    /// task that is assigned to the worker.
    std::vector<renewal_request> changed_renewals();
    /// Returns the number of jobs without a started task, by queue.
    std::map<std::string, int> waiting_by_queue() const;
    /// Returns the number of jobs that have had nothing running for longer than
    /// the platform allows though a step is due and there is room for two.
    std::size_t idle_jobs_beside_room(instant now) const;

    const std::map<std::string, worker_entry>& workers() const
    {
        return m_workers;
    }
    /// Returns whether the worker holds runs without a record. Their demand is
    /// unknown, so the worker gets no work until they have ended.
    bool has_unrecorded_runs(const std::string& worker) const
    {
        return m_unrecorded_runs.any_on(worker);
    }
    /// Returns the number of workers that hold runs without a record.
    std::size_t workers_with_unrecorded_runs() const
    {
        return m_unrecorded_runs.worker_count();
    }
    const std::map<std::string, job_entry>& jobs() const
    {
        return m_jobs.jobs();
    }

private:
    friend class planner;

    worker_entry& find_or_add_worker(const std::string& id);
    /// Returns the worker's renewal request; without an address if the worker
    /// needs no session.
    renewal_request renewal_of(const worker_entry& worker) const;
    /// Returns whether the worker gets no work until it answers a renewal.
    /// Whatever is true here is a reason to renew.
    bool awaits_answer(const worker_entry& worker) const;
    /// Returns whether tasks can be assigned to the worker now.
    bool is_usable(const worker_entry& worker, instant now) const;
    /// Notes that the worker's renewal request may have changed.
    void mark_renewal(const std::string& worker)
    {
        m_changed_renewals.insert(worker);
    }
    /// Forgets all runs without a record on the worker, which have ended.
    void forget_unrecorded_runs(const std::string& worker,
                                const run_end_evidence& evidence, instant now);
    /// Forgets a run that has ended, if it is one without a record.
    void forget_unrecorded_run(const std::string& worker, const run_ref& run,
                               const run_end_evidence& evidence, instant now);
    /// Returns the time by which a lease that was renewed at the given time has
    /// expired, including the error of the worker's clock.
    instant lease_end(instant sent) const;
    /// Sets the job's policy to the current policy of its queue.
    void update_policy(job_entry& job) const;

    /// Restores the recorded run of a task unless a later record shows that it
    /// ended with its worker's process.
    void restore_run(job_entry& job, const task_ref& ref, instant now);
    void assign(job_entry& job, const task_ref& ref, worker_entry& worker,
                int run, instant now);
    void add_allocated(worker_entry& worker, const job_step& step);
    void begin_stopping(job_entry& job, const task_ref& ref,
                        const std::string& reason, instant now);
    /// Releases the resources of a run that has ended. The task waits for a new
    /// run unless it is done.
    void release_run(job_entry& job, const task_ref& ref,
                     const run_end_evidence& evidence, instant now);
    void log_release(const task_ref& ref, const active_run& run,
                     const run_end_evidence& evidence, instant now);
    /// Returns whether the worker may carry out a start of the run later. What
    /// the earlier leader's starts were answered is not known.
    bool may_start_late(const active_run& run, instant now) const;
    /// Makes sure that the unanswered starts of a released run have no effect:
    /// one that waits is not sent, and one that is carried out late is refused.
    void bar_late_starts(worker_entry& worker, const task_ref& ref,
                         const active_run& run, instant now);
    /// Ends the polling of workers whose late starts have become impossible.
    void forget_late_starts(instant now);
    void stop_gang_members(job_entry& job, const task_ref& ref,
                           const std::string& reason, instant now);
    void stop_job(job_entry& job, const std::string& reason, instant now);
    void complete_if_done(job_entry& job, instant now);
    void release_worker_runs(worker_entry& worker,
                             const run_end_evidence& evidence, instant now);
    /// Returns when the worker was found to have left, if a call that was sent
    /// at the given time and ended like this confirms it.
    static std::optional<instant> left_at(const worker_entry& worker,
                                          const call_result& result,
                                          std::optional<instant> sent);
    /// Releases the runs of a worker that was lost, and attributes the loss to
    /// the tasks that may have caused it.
    void lose_worker_runs(worker_entry& worker,
                          const run_end_evidence& evidence, instant now);
    void attribute_loss(worker_entry& worker, instant now);
    /// Attributes the workers whose process has ended, before their lease is
    /// over, so that a later leader knows of it.
    void attribute_noted_losses(instant now);
    /// Counts the loss unless the task's newest run was counted before. Returns
    /// whether it counted. The evidence is logged.
    bool attribute_crash(const worker_entry& worker,
                         const attributed_loss& loss,
                         const decision_fields& evidence);
    /// Fails the job of a task that crashes its workers.
    void give_up(job_entry& job, const task_ref& ref, instant now);
    /// Returns whether several workers were lost together with this one for a
    /// reason other than their tasks.
    bool is_lost_with_others(const worker_entry& worker,
                             const worker_loss& loss) const;
    worker_loss loss_of(const worker_entry& worker, instant now,
                        std::vector<task_ref>& refs);
    /// Notes that a renewal of the worker was not answered.
    void note_silence(worker_entry& worker, const call_result& result,
                      instant now);
    /// Returns whether the worker's address was lost recently although no run
    /// had been started on it right before.
    bool is_unreliable(const worker_entry& worker, instant now) const;
    void note_unexplained_loss(const worker_entry& worker,
                               const worker_loss& loss, instant now);
    /// Withdraws what was attributed to the loss of a worker that answers.
    void note_answer(worker_entry& worker);
    /// Withdraws it too if the worker has written its description since.
    void note_heartbeat(worker_entry& worker,
                        const worker_description& description);
    void withdraw_loss(worker_entry& worker);
    /// Notes that a run was assigned to the worker or started on it.
    void note_start(worker_entry& worker, const task_entry& task,
                    const std::string& task_name, instant now);
    /// Attributes the workers that an earlier leader lost while it ended.
    void attribute_losses_of_earlier_term();
    void attribute_earlier_loss(worker_entry& worker, const task_ref& ref,
                                double share, bool with_others);
    /// Notes the runs that ended with the worker's process before it answered
    /// this leader.
    void note_restart_before_term(const worker_entry& worker,
                                  const worker_report& report);
    /// Attributes the restarts that the first answers have shown, unless the
    /// answers to come may show that more workers restarted for one cause.
    void attribute_restarts_before_term(instant now);
    void attribute_restart_before_term(const worker_entry& worker,
                                       const run_ref& run, double share,
                                       bool with_others);
    /// Returns whether so many workers with runs of an earlier leader are
    /// likely to answer soon that their restarts would have a common cause.
    bool awaits_first_answers(instant now) const;
    /// Discards the crashes of a task whose run lasts.
    void clear_crashes_of_lasting_run(job_entry& job, const task_ref& ref,
                                      instant now);
    void fail_job(job_entry& job, const decision_fields& cause, instant now);
    /// Sets the address to call after the known addresses have changed.
    static void choose_called_address(worker_entry& worker);
    /// Calls a silent worker at the other one of its addresses, if the worker
    /// list names another one than that at which it answered.
    void call_other_address(worker_entry& worker, instant now);
    /// Notes which incarnation the worker list names. A later one than the
    /// worker's must be confirmed by an answer; until then the worker gets no
    /// new work and keeps its runs.
    void note_listed_incarnation(worker_entry& worker, std::int64_t listed,
                                 instant now);
    /// Settles, by an answer to a call that was sent at the given time, whether
    /// the worker has restarted as the worker list says.
    void check_listed_restart(worker_entry& worker, instant sent);
    /// Applies the first report of the worker's new process, requested at the
    /// given time.
    void begin_incarnation(worker_entry& worker, const worker_report& report,
                           instant sent, instant now);
    /// Releases the runs that have ended with the worker's earlier process, and
    /// records the others as runs of the new one.
    void settle_runs_of_earlier_process(worker_entry& worker,
                                        const worker_report& report,
                                        instant sent, instant now);
    /// Returns whether a run has ended with its process, if it is not in the
    /// new process's answer to a call of the given time.
    static bool has_ended_with_process(const active_run& run, instant sent);
    /// Keeps a run that the new process holds. Stops one of which a start may
    /// still reach it, so that the process refuses the start.
    void continue_at_new_process(job_entry& job, const task_ref& ref, bool held,
                                 instant now);

    /// Marks the run, and with it the job, as started.
    void mark_started(job_entry& job, active_run& run, instant now);
    /// Returns whether only the worker determines the speed of the run.
    bool has_comparable_speed(const job_entry& job, const task_ref& ref);
    void update_progress(job_entry& job, const task_ref& ref, int percent,
                         instant now);
    /// Stops runs that are likely to end sooner on another worker. Quarantines
    /// the worker if all its runs with progress reports are slow.
    void stop_slow_runs(worker_entry& worker, instant now);
    void apply_running(worker_entry& worker, const running_report& report,
                       instant now);
    void apply_completion(worker_entry& worker, const completion_report& report,
                          instant now);
    /// Records the duration of a completed run that started without a
    /// checkpoint.
    void record_duration(const job_entry& job, const task_ref& ref,
                         instant now);
    void apply_done(job_entry& job, const task_ref& ref, int run, instant now);
    void apply_failure(job_entry& job, const task_ref& ref, int run,
                       worker_entry& worker, instant now);
    /// Counts a failed run of a task whose attempts are limited. The job fails
    /// if it was the last attempt.
    void count_attempt(job_entry& job, const task_ref& ref, int run,
                       instant now);
    /// Returns the task by which failures are counted: a gang's members fail
    /// together.
    static task_ref failing_unit(const job_entry& job, const task_ref& ref);
    /// Decides whether the failure counts against the worker.
    void blame_failure(job_entry& job, const task_ref& ref, int run,
                       const worker_entry& worker, instant now);
    /// Counts a persistent run as a success once it has lasted long enough.
    void note_success_of_lasting_run(job_entry& job, const task_ref& ref,
                                     instant now);
    /// Delays the next run of a persistent task that ended by itself.
    void delay_restart(job_entry& job, const task_ref& ref, run_outcome outcome,
                       instant now);
    /// Releases the runs that the report lacks, unless it may have been written
    /// before their start was confirmed. Removes unlisted runs without a
    /// record.
    void release_unlisted_runs(worker_entry& worker,
                               const worker_report& report, instant sent,
                               instant now);
    /// Acknowledges the completions before the first one that is not stored.
    void advance_acknowledged(worker_entry& worker);

    void expire_leases(instant now);
    void release_stuck_assignments(instant now);
    /// Releases the runs of a job that were never sent.
    void release_assignments(job_entry& job, const std::string& reason,
                             instant now);
    /// Gives up ends of jobs whose records the store does not take, if newer
    /// ends of the worker wait for their acknowledgement.
    void forget_ends_of_refused_records(worker_entry& worker);
    void send_starts(instant now, dispatch_effects& effects);
    bool has_free_capacity(job_entry& job, const task_ref& ref);
    /// Returns false if the start must wait for its record to be stored or for
    /// free capacity.
    bool send_start(job_entry& job, const task_ref& ref, instant now,
                    dispatch_effects& effects);
    void send_stops(instant now, dispatch_effects& effects);
    /// Sends an order to stop the run if one is due. Logs a run that outlasts
    /// its stops.
    void send_stop(const worker_entry& worker, const run_ref& run,
                   stop_attempts& stops, instant now,
                   dispatch_effects& effects);

    dispatch_limits m_limits;
    decision_log m_log;
    service_configuration m_configuration;
    duration_model m_durations;
    failure_history m_failures;
    urgent_headroom m_urgent_headroom;
    job_table m_jobs;
    std::map<std::string, worker_entry> m_workers;
    /// Tasks whose start must be sent for the first time or repeated.
    std::set<task_ref> m_unsent_starts;
    /// Workers with completions that are applied but not stored.
    std::set<std::string> m_workers_awaiting_store;
    unrecorded_runs m_unrecorded_runs;
    /// The jobs that were cancelled before they were added, with the revision
    /// of the cancellation.
    std::map<std::string, std::int64_t> m_pending_cancellations;
    /// The workers whose renewal request may have changed since the last call
    /// of changed_renewals().
    std::set<std::string> m_changed_renewals;
    /// The workers that became silent recently, oldest first.
    std::vector<silent_worker> m_silent_workers;
    /// The last unexplained loss by the address of the worker.
    std::map<std::string, instant> m_unexplained_losses;
    /// The runs that had ended with their worker before this term, by worker;
    /// some of them only according to the worker list.
    std::map<std::string, std::vector<task_ref>> m_runs_lost_before_term;
    /// The workers whose process had changed before its first answer, with the
    /// runs whose loss is not attributed yet.
    std::map<std::string, std::vector<run_ref>> m_restarts_before_term;
    instant m_term_start;
    std::optional<instant> m_events_applied_until;
    std::int64_t m_fence = 0;
    std::int64_t m_required_fence = 0;
    std::set<std::string> m_workers_with_late_starts;
    std::vector<withdrawn_start> m_withdrawn;
    bool m_changed = true;
    bool m_superseded = false;
};

} // namespace kingcuprudder::dispatch

#endif
