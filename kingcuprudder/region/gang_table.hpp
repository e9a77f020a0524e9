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
/// records its outcome. A gang is processed only when its state has changed or
/// its next step is due.
class gang_table
{
public:
    /// Called with the worker and the job when a part has failed or succeeded.
    using part_hook =
        std::function<void(const worker_id&, const job_key&, bool succeeded)>;

    gang_table(scheduler_context& context, worker_table& workers,
               part_hook on_part_ended);

    /// Starts driving an attempt that is placed, running or stopping in the
    /// state. `inherited` is set if a former owner placed it.
    void add(const job_entry& entry, bool inherited, instant now);

    /// Called after the record that ends the phase was committed and the state
    /// has moved to the next phase.
    void on_phase(const job_key& job, instant now);

    /// Called after the attempt was released or has ended. Stops what its
    /// workers still hold of it.
    void remove(const job_key& job);

    /// Requests a stop of the attempt. The reason of an earlier request is
    /// kept.
    void request_stop(const job_key& job, stop_reason reason, instant now);

    /// Withdraws a stop request that is not recorded yet. Returns settled if
    /// there was none, undecided if its record may still commit.
    region_log::withdrawal withdraw_stop(const job_key& job, instant now);

    bool contains(const job_key& job) const { return m_gangs.contains(job); }
    bool stopping(const job_key& job) const;

    bool is_command(call_number call) const { return m_calls.contains(call); }
    void on_answer(const worker_answer& answer, instant now);

    /// Applies a worker's report. Parts that are missing from a full report are
    /// marked as gone.
    void on_report(const worker_report& report, bool full, instant now);

    /// Called when the worker's task lease has expired.
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
    void end_succeeded(gang& each, instant now);
    void release(gang& each, const job_entry& entry, stop_reason reason,
                 verdict attempt_verdict, instant now);
    void end(gang& each, job_outcome outcome, verdict ran, instant now);
    void send_command(gang& each, std::size_t index, command kind, instant now);
    void apply_report(gang& each, gang_part& part, const task_report& report);
    void on_prepare_answer(gang& each, gang_part& part,
                           const worker_answer& answer, instant now);
    void on_start_answer(gang& each, gang_part& part,
                         const worker_answer& answer, instant now);
    void on_stop_answer(gang& each, gang_part& part,
                        const worker_answer& answer, instant now);
    void mark_missing(const worker_report& report, instant now);
    void schedule(gang& each, instant at);
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
