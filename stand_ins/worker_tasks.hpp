#ifndef KINGCUPRUDDER_STAND_INS_WORKER_TASKS_HPP
#define KINGCUPRUDDER_STAND_INS_WORKER_TASKS_HPP

#include <kingcuprudder/region/owner_io.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kingcuprudder::stand_ins
{

/// The start or end of the part of an attempt that runs on one worker.
struct task_event
{
    attempt_key m_attempt;
    std::uint64_t m_accelerators = 0;
    bool m_is_start = false;
    task_state m_state = task_state::running; ///< The final state of the part.
    instant m_at;

    friend auto operator<=>(const task_event&, const task_event&) = default;
};

/// The tasks of a stand-in worker, which run nothing and only take time.
/// Callers pass the current time, so that a frozen worker can resume late.
class worker_tasks
{
public:
    /// The result of a command.
    using outcome = std::variant<worker_done, worker_refused>;

    /// Creates the tasks of a worker with this number of accelerators.
    explicit worker_tasks(std::uint32_t accelerators);

    /// Sets the time at which all tasks stop unless the lease is renewed.
    void set_lease_end(instant end) { m_lease_end = end; }

    /// Makes every task that is started from now on fail after a short time.
    void set_fail_every_task(bool fail) { m_fail_every_task = fail; }

    outcome prepare(const worker_prepare& command, instant now);
    outcome start(const attempt_key& attempt, instant now);
    outcome stop(const worker_stop& command, instant now);
    outcome checkpoint(const attempt_key& attempt, instant now);

    /// Sets the speed of a task in percent of its full speed, 1 to 100.
    outcome throttle(const attempt_key& attempt, std::uint32_t percent,
                     instant now);

    /// Ends the tasks whose run time, hold or lease is over or whose stop is
    /// due.
    void advance(instant now);

    /// Returns the time at which advance() has to be called next.
    instant next_due() const;

    /// Returns the state of all attempts that the owner has not closed with a
    /// stop.
    std::vector<task_report> all() const;

    /// Returns the state of the attempts with unacknowledged changes.
    std::vector<task_report> changed() const;

    /// Whether the end of an attempt is not acknowledged yet.
    bool has_unreported_end() const;

    /// Marks the reports as received by the owner.
    void acknowledge(const std::vector<task_report>& reports);

    /// Returns all starts and ends in order.
    const std::vector<task_event>& history() const { return m_history; }

    /// Returns the accelerator time used up to an instant, in accelerator
    /// milliseconds.
    std::int64_t used_until(instant end) const;

private:
    struct part
    {
        std::uint64_t m_accelerators = 0;
        task_state m_state = task_state::prepared;
        span m_run_time;
        bool m_fails = false;
        instant m_prepared_at;
        span m_progress; // Up to m_progress_at.
        instant m_progress_at;
        std::uint32_t m_speed_percent = 100;
        span m_saved;
        instant m_stop_at; // Zero while no stop is requested.
        std::string m_answer;
        bool m_acknowledged = false;
    };

    static bool holds(const part& each);
    static span progress(const part& each, instant now);
    static instant end_of(const part& each);
    part* find_running(const attempt_key& attempt);
    void advance(const attempt_key& attempt, part& each, instant now);
    void end(const attempt_key& attempt, part& each, task_state state,
             instant now);
    static task_report report(const attempt_key& attempt, const part& each);

    std::uint32_t m_accelerators;
    bool m_fail_every_task = false;
    instant m_lease_end;
    std::map<attempt_key, part> m_parts;
    std::set<attempt_key> m_closed;
    std::vector<task_event> m_history;
};

} // namespace kingcuprudder::stand_ins

#endif
