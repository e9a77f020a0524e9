#ifndef KINGCUPRUDDER_DISPATCH_WORKER_LOSS_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_LOSS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/crash_evidence.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A run on a worker that was lost.
struct lost_run
{
    std::string m_job;
    /// When its start was sent first; empty if an earlier leader sent it.
    std::optional<instant> m_first_sent_at;
    /// When the run is known to have been started already; if an earlier
    /// leader sent the start.
    instant m_started_before;
    /// The worker has accepted or reported the run.
    bool m_accepted = false;
    /// A loss at the same address was attributed to the task before.
    bool m_repeated = false;

    friend bool operator==(const lost_run&, const lost_run&) = default;
};

/// A worker that stopped answering and whose runs have ended.
struct worker_loss
{
    /// The first call that was not answered; empty if the worker has not
    /// answered this leader at all.
    std::optional<instant> m_silent_since;
    /// The process ended; else the machine or its network may be lost.
    bool m_process_ended = false;
    /// Another process was the first sign of the loss, so this one may have
    /// ended at any time since its last answer.
    bool m_found_replaced = false;
    instant m_last_answer;
    /// The address was lost before without a start to explain it.
    bool m_unreliable = false;
    /// Several workers were lost together for a reason other than their tasks.
    bool m_with_others = false;
    std::vector<lost_run> m_runs;

    /// Returns whether a run was started right before the worker was lost.
    bool follows_a_start() const;
    /// Returns how strongly this loss, taken alone, points to the run with this
    /// position in m_runs.
    crash_suspicion suspicion_of(std::size_t position) const;
    /// Returns, by position in m_runs, the share of the suspicion that falls on
    /// each run: one of many runs is probably not the one that caused the loss.
    std::vector<double> suspicion_shares() const;
    /// Returns whether the end of the worker's process counts against this run,
    /// however long it was at work. It doesn't if the worker ended before the
    /// run's start may have reached it, or if the run was old and the machine
    /// had been lost before, which explains the loss without the run.
    bool counts_as_ended(std::size_t position) const;

private:
    /// Returns whether the worker may have been lost before it received the
    /// run's start.
    bool may_precede(const lost_run& run) const;
    /// Returns whether the run was started too long before the loss to be its
    /// cause by its start.
    bool is_old(const lost_run& run) const;
    /// Returns whether the worker was lost right after the run's start.
    bool is_new(const lost_run& run) const;
    /// The same without regard to the worker's other losses.
    crash_suspicion suspicion_by_start(std::size_t position) const;
};

/// A worker that became silent.
struct silent_worker
{
    std::string m_id;
    instant m_silent_since;
    bool m_process_ended = false;
    /// A run was started on it right before.
    bool m_follows_a_start = false;

    friend bool operator==(const silent_worker&,
                           const silent_worker&) = default;
};

/// Returns whether several workers were lost together for a reason other than
/// their tasks, such as a power loss: several or most of them had no new run.
/// `with_new_run` of `lost` workers had one.
bool has_common_cause(int lost, int with_new_run);

/// A task that crashes its worker does so when it starts. The loss of the
/// worker is noticed within this time.
constexpr span crash_after_start = span(1000);

/// Returns within which time of each other workers become silent if they have
/// one cause. The end of a process is noticed at once, as its connections are
/// closed; the loss of a machine only when a call is not answered in time.
span common_loss_period(bool process_ended);

/// A worker that was lost without a start to explain it counts as unreliable
/// for this time.
constexpr span unreliable_period = span(60'000);

} // namespace kingcuprudder::dispatch

#endif
