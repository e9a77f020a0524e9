#ifndef KINGCUPRUDDER_NODE_SCHEDULER_HPP
#define KINGCUPRUDDER_NODE_SCHEDULER_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/node/configuration_view.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/external_records.hpp>
#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/record_store.hpp>
#include <kingcuprudder/node/record_watcher.hpp>
#include <kingcuprudder/node/worker_calls.hpp>
#include <kingcuprudder/node/worker_session.hpp>
#include <kingcuprudder/runtime/bounded_ring.hpp>

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

/// What a scheduler works with.
struct scheduler_environment
{
    record_store& m_store;
    event_log& m_log;
    configuration_view& m_configuration;
    const external_records& m_records;
    worker_calls_factory m_worker_calls;
    dispatch::dispatch_limits m_limits;
    /// How long the state of an ended job can be asked for.
    span m_status_time;
};

/// Decides for one term: reads the stored state, follows jobs and workers,
/// gives orders and stores progress. One thread holds the state; others carry
/// out calls and post what came of them.
class scheduler
{
public:
    scheduler(scheduler_environment environment, std::shared_ptr<term> held);
    ~scheduler();
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;

    /// A description of the state for operators.
    std::string dump();

private:
    using event = std::function<void()>;

    void post(event next);
    void run();
    bool load();
    void load_jobs(const record_list& live, const record_list& progress);
    void follow_records();
    void add_submission(const record& found,
                        const std::optional<dispatch::job_progress>& progress,
                        std::int64_t progress_revision);
    void take_live_record(const record& found);
    void take_worker_record(const record& found, bool removed);
    void take_worker_list(const record_list& list);

    /// How long to wait for the next event.
    std::chrono::milliseconds next_wait() const;
    /// Plans, unless the last planning took so long that others must go first.
    void plan();
    /// Gives orders and stores records.
    void step();
    void take_configuration();
    void give_orders(const dispatch::dispatch_effects& effects);
    void update_sessions(bool has_orders);
    void begin_write();
    store_transaction
    transaction_of(const std::vector<dispatch::job_write>& writes) const;
    void run_writer();
    void finish_write(const std::vector<dispatch::job_write>& writes,
                      const store_result<commit_answer>& outcome);
    void resolve_conflict(const std::vector<dispatch::job_write>& writes,
                          const store_conflict& conflict);
    /// The job's record may be removed some time after its end.
    void note_ended(const std::string& job, instant now);
    void publish_summary();
    void remove_old_records();
    worker_session::hooks session_hooks();

    scheduler_environment m_environment;
    std::shared_ptr<term> m_term;
    dispatch::dispatcher m_dispatcher;
    std::map<std::string, std::unique_ptr<worker_session>> m_sessions;
    /// Jobs that ended in this term, so that a late list does not bring them
    /// back.
    std::set<std::string> m_ended;
    /// When the records of ended jobs may go.
    std::multimap<instant, std::string> m_removals;
    bool m_write_in_flight = false;
    instant m_stepped_at;
    instant m_next_planning;
    instant m_sessions_at;
    /// Events were handled since the last step.
    bool m_step_due = false;
    instant m_write_pause_until;
    instant m_summary_at;
    instant m_removed_at;
    /// The configuration that the dispatcher has.
    configuration_view::snapshot m_configured;

    /// A transaction and the records that it stores, if any.
    struct write_job
    {
        store_transaction m_transaction;
        std::vector<dispatch::job_write> m_writes;
    };

    std::atomic<bool> m_stopping = false;
    bounded_ring<event> m_events;
    bounded_ring<write_job> m_write_queue;
    std::unique_ptr<record_watcher> m_worker_watcher;
    std::unique_ptr<record_watcher> m_job_watcher;
    std::thread m_writer;
    std::thread m_thread;
};

} // namespace kingcuprudder::node

#endif
