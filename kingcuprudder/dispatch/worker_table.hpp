#ifndef KINGCUPRUDDER_DISPATCH_WORKER_TABLE_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_TABLE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/crash_evidence.hpp>
#include <kingcuprudder/dispatch/task_ref.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

/// What the loss of a worker was counted as for one of its tasks.
struct attributed_loss
{
    task_ref m_task;
    crash_suspicion m_suspicion = crash_suspicion::none;
    /// The share of the suspicion that falls on this task, from 0 to 1.
    double m_share = 0;
    /// It is one of task_progress::m_workers_ended.
    bool m_counts_as_ended = false;
};

/// The last reported state of a worker and its allocated runs.
struct worker_entry
{
    /// The worker's newest entry in the platform's worker list. Other programs
    /// can write there, so it is no evidence that a run has ended.
    worker_description m_entry;
    /// The newest entry, but with the pool, zone, rack, labels and capacity of
    /// the present process if an earlier entry was of that process and the
    /// newest one is of another.
    worker_description m_description;
    /// The process whose pool, zone, rack, labels and capacity m_description
    /// contains; 0 if its entry does not name it, empty if there is none.
    std::optional<std::int64_t> m_described_process;
    /// The incarnation that answered last or, before the first answer, the
    /// newest one in the stored records; 0 if unknown.
    std::int64_t m_incarnation = 0;
    /// When the worker list first named a later incarnation, which no answer
    /// has confirmed or refuted yet.
    std::optional<instant> m_restart_listed_at;
    /// Later incarnations in the worker list that answers have refuted.
    std::set<std::int64_t> m_refuted_incarnations;
    /// The address at which the worker answered last, to this leader or to the
    /// one that recorded its runs; empty if neither is known.
    std::string m_answered_address;
    /// The address to call: the above, or the listed one if the worker is
    /// silent there.
    std::string m_called_address;
    /// When m_called_address was last exchanged for the other one.
    instant m_address_tried_at;
    /// The worker is in the platform's worker list.
    bool m_listed = false;
    /// The current incarnation has answered a renewal of this term.
    bool m_synced = false;
    /// The last renewal was answered.
    bool m_reachable = true;
    instant m_last_answer;
    /// The first renewal since the last answer that was not answered; empty if
    /// the worker answers or has not answered this leader at all.
    std::optional<instant> m_silent_since;
    /// The renewal failed as the worker's process had ended.
    bool m_process_ended = false;
    /// The first renewal without an answer reached another process, so this one
    /// may have ended at any time since its last answer.
    bool m_found_replaced = false;
    /// The worker does not answer, but has written its description since.
    bool m_cut_off = false;
    /// The worker's clock in its last answer, in milliseconds.
    std::int64_t m_answer_clock = 0;
    /// The least time by which this process's clock may be ahead of the clock
    /// of the worker's process; empty before the first answer with a clock.
    std::optional<span> m_clock_lead;
    /// The incarnation that announced its drain last; 0 for none.
    std::int64_t m_drain_announced_by = 0;
    /// When m_entry was read.
    instant m_entry_read_at;
    /// When the entry of the worker was found to be removed because the process
    /// that answered last has left; empty if it may be alive.
    std::optional<instant> m_left_at;
    /// The loss of this incarnation has been attributed.
    bool m_loss_attributed = false;
    /// The tasks to which the loss of this incarnation was attributed. It is
    /// withdrawn if the worker answers after all.
    std::vector<attributed_loss> m_attributed;
    /// When a run was last assigned to the worker or started on it.
    instant m_last_start_at;
    /// Until this time only suspected tasks are started, and few of them, so
    /// that a crash of the worker can be attributed to them.
    instant m_trial_until;
    /// The sum of the suspicion of the tasks on this trial.
    double m_trial_suspicion = 0;
    /// All runs on the worker have ended by this time unless a later renewal or
    /// start reached it.
    instant m_lease_end;
    /// Completions up to this number are applied and stored.
    std::int64_t m_acknowledged = 0;
    std::int64_t m_last_completion = 0;
    /// Completions that are applied but not stored: their number, the job and
    /// the version of the job that must be stored.
    std::map<std::int64_t, std::pair<std::string, std::int64_t>>
        m_unstored_completions;
    /// Resources of the runs that the worker holds or may hold.
    resources m_allocated;
    /// The part of m_allocated whose runs are being stopped.
    resources m_stopping;
    /// Resources of assigned runs whose start has not been sent.
    resources m_reserved;
    /// The free GPUs by which worker_index finds the worker in the current
    /// planning pass.
    std::int64_t m_indexed_gpus = 0;
    std::set<task_ref> m_tasks;
    /// The worker is slow or busy and gets no new work before this time.
    instant m_quarantined_until;
    /// The present process must have accepted a fencing token of at least this
    /// value before it gets work, as calls to the process before it may be
    /// carried out late; 0 for any.
    std::int64_t m_required_fence = 0;
    /// Until when an unanswered start of a released run may be carried out. The
    /// worker is polled, so that its next process soon learns the token that
    /// makes it refuse the start.
    std::optional<instant> m_late_starts_until;
    /// Since the worker's last answer, another process has answered at the
    /// address where it had answered.
    bool m_replaced = false;

    const std::string& id() const { return m_description.m_id; }
    /// Sets m_description after m_entry or m_incarnation has changed.
    void use_entry();
    /// Returns whether m_description is that of the present process. The next
    /// process may have other labels and less capacity.
    bool is_described() const;
    /// Notes a reading of the worker's clock that was requested at this time.
    void note_clock(std::int64_t clock, instant requested);
    /// Returns the earliest time at which the worker may have written its
    /// newest entry; empty if that is not known.
    std::optional<instant> entry_written_after() const;
    /// Returns whether the newest entry shows that the process that answered
    /// last has left if the entry was removed by the given time. The process
    /// must have announced it in this entry. An entry that is no longer renewed
    /// is removed after `expiry`, so only an earlier removal counts.
    bool leaves_by(instant removed, span expiry) const;
    /// Returns the time for which a draining worker certainly goes on.
    span drain_left(instant now) const
    {
        const instant written = entry_written_after().value_or(m_entry_read_at);
        return std::max(span(0), m_entry.m_drain_remaining - (now - written));
    }
    /// Returns whether the present process has announced that it drains. The
    /// entry of the next one may be listed before it has ended.
    bool has_announced_drain() const
    {
        return m_description.m_draining ||
               (m_incarnation != 0 && m_drain_announced_by == m_incarnation);
    }
    /// Returns whether this leader has read an entry of the worker.
    bool was_listed() const { return m_entry_read_at != instant(); }
    /// Returns whether the worker has answered this leader.
    bool has_answered() const { return m_last_answer != instant(); }
    /// Returns whether the worker is called at the address where it answered
    /// last. Another address is only polled.
    bool is_called_where_it_answered() const
    {
        return m_called_address == m_answered_address;
    }
    /// Returns the resources for new assignments. Runs that are being stopped
    /// count as free.
    resources plannable_capacity() const
    {
        return m_description.m_capacity - m_allocated - m_reserved + m_stopping;
    }
    /// Returns the resources for starts that are sent now.
    resources free_capacity() const
    {
        return m_description.m_capacity - m_allocated;
    }
};

} // namespace kingcuprudder::dispatch

#endif
