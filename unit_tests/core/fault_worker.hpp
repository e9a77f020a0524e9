#ifndef KINGCUPRUDDER_UNIT_TESTS_FAULT_WORKER_HPP
#define KINGCUPRUDDER_UNIT_TESTS_FAULT_WORKER_HPP

#include "fault_event_queue.hpp"
#include <kingcuprudder/history/history_recorder.hpp>
#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/topology/worker.hpp>

#include <functional>
#include <map>
#include <string>

namespace kingcuprudder
{

/// The behaviour of a job on its workers, which the harness looks up by job
/// key.
struct fault_job
{
    std::uint32_t m_gang_parts = 1; ///< Set from each placement.
    bool m_idempotent = true;
    span m_run_time = span::seconds(5); ///< Actual, not declared.
    int m_failures = 0; ///< Number of parts that fail before it works.
};

/// Defects injected into a worker, to test that the checker detects them.
struct worker_defects
{
    bool m_ignores_epoch = false;
    bool m_ignores_conflicts = false; ///< Accelerators in use, restarts.
    bool m_ignores_stop = false;
    bool m_ignores_lease = false;
    /// Whether the worker reports tasks as running without starting them.
    bool m_pretends_start = false;
};

/// An in-memory worker: checks epochs, holds and runs attempts under a task
/// lease, and reports by heartbeat.
class fault_worker
{
public:
    using outcome = decltype(worker_answer::m_outcome);
    using heartbeat_hook = std::function<void(fault_worker&)>;
    using job_lookup = std::function<fault_job&(const job_key&)>;

    fault_worker(fault_event_queue& queue, history_recorder& history,
                 const worker& self, heartbeat_hook on_heartbeat,
                 job_lookup jobs);

    /// Applies a command that has reached the worker.
    outcome on_command(const worker_call& call, std::size_t owner);

    /// Called when the owner has answered the heartbeat that was sent at
    /// `sent`.
    void on_heartbeat_answered(instant sent);

    worker_report report() const;
    std::size_t owner() const { return m_owner; }
    const worker_id& id() const { return m_self.m_id; }
    const worker& self() const { return m_self; }
    bool up() const { return m_up; }
    std::size_t tasks() const { return m_tasks.size(); }

    void crash();
    void restart();

    bool m_fails_tasks = false;
    /// Whether commands reach the worker.
    bool m_commands_delivered = true;
    /// Whether answers and heartbeats reach the owner.
    bool m_reports_delivered = true;
    worker_defects m_defects;

private:
    struct task
    {
        task_report m_report;
        instant m_hold_until;
        instant m_started_at;
        span m_saved_before;
        std::uint64_t m_run = 0; ///< Distinguishes one run from a later one.
    };

    outcome on_claim(const worker_call& call, const worker_claim& claim,
                     std::size_t owner);
    outcome on_prepare(const worker_prepare& command);
    outcome on_start(const worker_start& command);
    outcome on_stop(const worker_stop& command);
    bool accelerators_free(std::uint64_t mask) const;
    void drop_stale_holds();
    void end(const attempt_key& attempt, task_state state);
    void stop_all();
    void finish_later(const attempt_key& attempt);
    void schedule_heartbeat();
    void watch_lease();
    void report_now() { m_on_heartbeat(*this); }

    fault_event_queue& m_queue;
    history_recorder& m_history;
    worker m_self;
    heartbeat_hook m_on_heartbeat;
    job_lookup m_jobs;

    bool m_up = true;
    std::uint64_t m_boot = 1;
    std::uint64_t m_runs = 0;
    epoch_number m_epoch = 0;
    std::size_t m_owner = 0; ///< The instance that has claimed it.
    span m_interval;
    span m_lease;
    instant m_lease_until;
    std::map<attempt_key, task> m_tasks;
    /// Attempts that were stopped: a late prepare or start has no effect.
    std::map<attempt_key, bool> m_finished;
};

/// The identifier of a job in the history.
inline std::string history_name(const job_key& job)
{
    return job.m_account.str() + "/" + job.m_job.str();
}

} // namespace kingcuprudder

#endif
