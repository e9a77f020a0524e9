#ifndef KINGCUPRUDDER_REGION_GANG_TABLE_HPP
#define KINGCUPRUDDER_REGION_GANG_TABLE_HPP

#include <kingcuprudder/region/gang.hpp>
#include <kingcuprudder/region/scheduler_context.hpp>
#include <kingcuprudder/region/worker_table.hpp>

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// Drives each placed gang through prepare, start and stop on its workers, and
/// records what became of it. A gang is looked at only when something about it
/// has changed or its next step is due.
class gang_table
{
public:
    /// Called with the worker and job when a part has failed or succeeded.
    using part_hook =
        std::function<void(const worker_id&, const job_key&, bool succeeded)>;

    gang_table(scheduler_context& context, worker_table& workers,
               part_hook on_part_ended);

    /// Follows an attempt that the state shows as placed, running or stopping.
    void add(const job_entry& entry, bool inherited, instant now);

    /// The record that ended the phase was committed; the state shows the next.
    void on_phase(const job_key& job, instant now);

    /// The attempt was released or has ended: what its workers still hold of
    /// it is dropped.
    void remove(const job_key& job);

    /// Asks to stop an attempt. An earlier reason is kept.
    void request_stop(const job_key& job, stop_reason reason, instant now);

    /// Takes back a request to stop that was not recorded yet. Returns
    /// settled when there was none, undecided when its record may commit.
    region_log::withdrawal withdraw_stop(const job_key& job, instant now);

    bool contains(const job_key& job) const { return m_gangs.contains(job); }
    bool stopping(const job_key& job) const;

    bool is_command(call_number call) const { return m_calls.contains(call); }
    void on_answer(const worker_answer& answer, instant now);

    /// Takes in a worker's report; a full one also shows what is gone.
    void on_report(const worker_report& report, bool full, instant now);

    /// The worker's task lease has run out.
    void on_worker_lost(const worker_id& worker, instant now);

    void on_tick(instant now);

    std::size_t size() const { return m_gangs.size(); }

private:
    enum class command
    {
        prepare,
        start,
        stop,
    };

    struct sent_command
    {
        job_key m_job;
        std::uint32_t m_attempt = 0;
        std::size_t m_part = 0;
        command m_kind = command::prepare;
    };

    void advance(gang& each, instant now);
    void advance_placed(gang& each, const job_entry& entry, instant now);
    void advance_running(gang& each, instant now);
    void advance_stopping(gang& each, const job_entry& entry, instant now);
    void conclude(gang& each, const job_entry& entry, instant now);
    void end_well(gang& each, instant now);
    void release(gang& each, const job_entry& entry, stop_reason reason,
                 verdict may_have, instant now);
    void end(gang& each, job_outcome outcome, verdict ran, instant now);
    void drive(gang& each, std::size_t index, command kind, instant now);
    void apply_report(gang& each, gang_part& part, const task_report& report);
    void on_prepare_answer(gang& each, gang_part& part,
                           const worker_answer& answer, instant now);
    void on_start_answer(gang& each, gang_part& part,
                         const worker_answer& answer, instant now);
    void on_stop_answer(gang& each, gang_part& part,
                        const worker_answer& answer, instant now);
    void mark_missing(const worker_report& report, instant now);
    void wake(gang& each, instant at);
    gang* find(const job_key& job, std::uint32_t attempt);
    gang_part* find_part(gang& each, const worker_id& worker);

    scheduler_context& m_context;
    worker_table& m_workers;
    part_hook m_on_part_ended;
    std::map<job_key, gang> m_gangs;
    std::map<worker_id, std::set<job_key>> m_on_worker;
    std::map<call_number, sent_command> m_calls;
    std::set<std::pair<instant, job_key>> m_due;
};

} // namespace kingcuprudder

#endif
