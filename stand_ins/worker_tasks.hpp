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

/// The start or end of an attempt's part on one worker.
struct task_event
{
    attempt_key m_attempt;
    std::uint64_t m_accelerators = 0;
    bool m_is_start = false;
    task_state m_state = task_state::running; ///< How the part ended.
    instant m_at;

    friend auto operator<=>(const task_event&, const task_event&) = default;
};

/// The tasks of a stand-in worker. They only take time; nothing is run. Times
/// are passed in, so that a frozen worker can be resumed late.
class worker_tasks
{
public:
    /// What a command did.
    using outcome = std::variant<worker_done, worker_refused>;

    /// For a worker with so many accelerators.
    explicit worker_tasks(std::uint32_t accelerators);

    /// Lets all tasks stop if no renewal comes until then.
    void set_lease_end(instant end) { m_lease_end = end; }

    /// Lets every task that is started from now on fail soon.
    void set_fail_every_task(bool fail) { m_fail_every_task = fail; }

    outcome prepare(const worker_prepare& command, instant now);
    outcome start(const attempt_key& attempt, instant now);
    outcome stop(const worker_stop& command, instant now);
    outcome checkpoint(const attempt_key& attempt, instant now);

    /// Lets a task progress at so many percent of its full speed.
    outcome throttle(const attempt_key& attempt, std::uint32_t percent,
                     instant now);

    /// Ends what has run its time, and what lost its hold or its lease.
    void advance(instant now);

    /// When advance() has something to do next.
    instant next_due() const;

    /// The state of all attempts that the owner has not closed with a stop.
    std::vector<task_report> all() const;

    /// The state of the attempts that changed since they were acknowledged.
    std::vector<task_report> changed() const;

    /// Whether an attempt has ended that was not acknowledged yet.
    bool has_unreported_end() const;

    /// The owner has seen these reports.
    void acknowledge(const std::vector<task_report>& reports);

    /// Every start and end, in their order.
    const std::vector<task_event>& history() const { return m_history; }

    /// Accelerator time used up to an instant, in accelerator milliseconds.
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
        instant m_stop_at; // Zero while no stop was asked for.
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
