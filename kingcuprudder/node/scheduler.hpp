#ifndef KINGCUPRUDDER_NODE_SCHEDULER_HPP
#define KINGCUPRUDDER_NODE_SCHEDULER_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/node/configuration_view.hpp>
#include <kingcuprudder/node/event_horizon.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/external_records.hpp>
#include <kingcuprudder/node/leader_metrics.hpp>
#include <kingcuprudder/node/leader_writer.hpp>
#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/list_reader.hpp>
#include <kingcuprudder/node/order_slots.hpp>
#include <kingcuprudder/node/progress_writer.hpp>
#include <kingcuprudder/node/record_removals.hpp>
#include <kingcuprudder/node/record_store.hpp>
#include <kingcuprudder/node/record_watcher.hpp>
#include <kingcuprudder/node/worker_calls.hpp>
#include <kingcuprudder/node/worker_session.hpp>
#include <kingcuprudder/runtime/bounded_ring.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder::node
{

/// Dependencies and settings of a scheduler.
struct scheduler_environment
{
    record_store& m_store;
    event_log& m_log;
    const leader_metrics& m_metrics;
    configuration_view& m_configuration;
    const external_records& m_records;
    worker_calls_factory m_worker_calls;
    dispatch::dispatch_limits m_limits;
    /// How long the record of an ended job is kept.
    span m_record_retention;
};

/// Schedules jobs during one term of leadership: loads the stored state,
/// watches jobs and workers, sends orders and stores progress. One thread owns
/// the state; others make the blocking calls and post their results to it.
class scheduler
{
public:
    scheduler(scheduler_environment environment,
              std::shared_ptr<term> current_term);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// Returns the state as JSON for operators, or "{}" if that takes over 1 s.
    std::string dump();

private:
    using event = std::function<void()>;

    /// A job's progress and the revision of the record that holds it.
    struct stored_progress
    {
        dispatch::job_progress m_progress;
        std::int64_t m_revision = 0;
    };

    void post(event next);
    void run();
    /// Handles the waiting events, then plans and sends orders if it is time.
    void handle_events();
    void apply(const event& next);
    /// Reads the records that have not been read yet, and takes them over when
    /// all have been. Returns whether they have.
    bool load();
    void take_over(const record_list& workers, const record_list& live,
                   const record_list& progress);
    void log_failed_load(const std::string& prefix, store_failure reason);
    void load_jobs(const record_list& live, const record_list& progress);
    /// Returns how long the record of a job that ended at this wall-clock time
    /// is still kept; the whole retention if the record does not have the time.
    span retention_left(std::optional<instant> ended_at) const;
    /// Adds the job of a listed submission, or holds it as unusable.
    void load_job(const record& found,
                  const std::map<std::string, stored_progress>& progress_of,
                  std::int64_t progress_read_at);
    /// Logs a job whose records cannot be used and keeps it from being added.
    /// Without its progress, work that has been done would be repeated.
    void hold_job(const std::string& id, const std::string& reason,
                  std::int64_t revision);
    void watch_records();
    void add_submission(const record& found, const stored_progress& progress);
    void apply_live_record(const record& found);
    void apply_cancellation(const record& found);
    void apply_worker_record(const record& found, bool removed);
    void apply_worker_list(const record_list& list);

    /// Returns how long to wait for the next event.
    std::chrono::milliseconds next_wait() const;
    /// Plans if the pause after the last planning has elapsed.
    void plan();
    /// Sends the dispatcher's orders and queues its writes.
    void step();
    void apply_configuration();
    void send_orders(const dispatch::dispatch_effects& effects);
    void update_sessions(bool has_orders);
    void update_session(const dispatch::renewal_request& request);
    /// Writes the leader record again if the dispatcher requires a higher
    /// fencing token.
    void raise_fence();
    /// Lets the dispatcher use the token, if it was raised.
    void apply_raised_fence();
    void begin_write();
    void finish_write(const store_result<commit_answer>& outcome);
    /// Notes that a job has ended and schedules the removal of its progress
    /// record, which has this revision.
    void note_ended_job(const std::string& job, std::int64_t revision,
                        instant due);
    /// Returns whether the job of this submission has ended.
    bool has_ended(const std::string& job,
                   std::int64_t submission_revision) const;
    void publish_summary();
    void publish_metrics();
    void remove_old_records();
    /// Returns whether a record that is due for removal is still needed: the
    /// cancellation of a job whose end is not stored.
    bool is_needed(const std::string& key) const;
    /// Handles the result of the removal of a group of records.
    void finish_removal(const std::vector<record_removal>& group,
                        const store_result<commit_answer>& outcome);
    /// Forgets the ended jobs whose records the store no longer has.
    void forget_removed(const std::vector<record_removal>& group);
    /// Ends the term if the conflict shows another leader. Returns whether it
    /// does.
    bool ended_by(const store_conflict& conflict);
    /// Returns null, and logs why, for an address that cannot be used.
    std::shared_ptr<worker_session>
    make_session(const dispatch::renewal_request& request);
    /// Returns the hooks of a session that calls the worker at this address.
    worker_session::hooks session_hooks(const std::string& address);
    /// Logs an unexpected error and ends the term. The next leader reloads the
    /// state from the store, so no state that the error left behind is used.
    void abandon_term(const std::string& error);

    scheduler_environment m_environment;
    std::shared_ptr<term> m_term;
    dispatch::dispatcher m_dispatcher;
    order_slots m_order_slots; ///< Used on the thread of m_worker_loop.
    progress_writer m_progress_writer{m_dispatcher, m_environment.m_log};
    /// Carries the calls to all workers.
    event_loop m_worker_loop;
    std::map<std::string, std::shared_ptr<worker_session>> m_sessions;
    /// Ended jobs and the revisions of their records, so that a list that was
    /// read before their end does not add them again.
    std::map<std::string, std::int64_t> m_ended_jobs;
    /// Jobs whose records cannot be used. They stay as they are in the store.
    std::set<std::string> m_unusable_jobs;
    /// Workers, live records and progress, in this order, until all are read.
    std::vector<list_reader> m_lists_to_load;
    int m_load_attempts = 0;
    instant m_load_began_at;
    /// The load has decided about all submissions up to this revision.
    std::int64_t m_loaded_revision = 0;
    record_removals m_removals{[this](const std::string& key)
                               { return is_needed(key); }};
    bool m_raising_fence = false;
    instant m_next_raise_at;
    instant m_last_step_at;
    instant m_planned_at;
    instant m_next_planning_at;
    instant m_sessions_updated_at;
    /// Whether events were handled since the last step.
    bool m_step_due = false;
    instant m_summary_published_at;
    instant m_metrics_published_at;
    /// The configuration that the dispatcher uses.
    configuration_view::snapshot m_applied_configuration;

    std::atomic<bool> m_stopping = false;
    bounded_ring<event> m_events;
    event_horizon m_horizon;
    std::unique_ptr<record_watcher> m_worker_watcher;
    std::unique_ptr<record_watcher> m_job_watcher;
    leader_writer m_writer;
    std::thread m_thread;
};

} // namespace kingcuprudder::node

#endif
