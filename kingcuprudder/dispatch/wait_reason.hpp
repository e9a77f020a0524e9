#ifndef KINGCUPRUDDER_DISPATCH_WAIT_REASON_HPP
#define KINGCUPRUDDER_DISPATCH_WAIT_REASON_HPP

#include <kingcuprudder/base/time.hpp>

#include <optional>
#include <string_view>

namespace kingcuprudder::dispatch
{

/// Why nothing of a due step is running.
enum class wait_reason
{
    previous_run_not_ended, ///< A run has not ended for certain.
    record_not_stored,      ///< The record of the assignment is not stored.
    stopped_run_holds_room, ///< Assigned where a run is still being stopped.
    start_not_confirmed,    ///< The start was sent and is not answered.
    no_room,                ///< No worker of the pool has free capacity.
    workers_do_not_answer,  ///< Those with free capacity do not answer.
    workers_avoided,        ///< Those with free capacity are in quarantine.
    workers_on_trial,       ///< They are kept for one suspected task each.
    suspected_waits_for_quiet_worker, ///< They have other new runs.
    interference,                     ///< Tasks there would interfere.
    urgent_headroom,                  ///< The rest is kept for urgent jobs.
    no_rack_has_room,    ///< The gang fits only across several racks.
    waits_for_data_rack, ///< There is room only outside the data's rack.
    unknown,             ///< The last planning pass may have been too early.
};

std::string_view to_string(wait_reason reason);

/// The newest run of a task of a step of which nothing is running.
enum class pending_run
{
    none,
    not_ended,
    awaits_store,
    awaits_capacity,
    awaits_answer,
};

/// How many tasks of a step fit on workers of its pool. Each count is over the
/// workers of the one before that also meet its condition.
struct room_by_condition
{
    int m_listed = 0;    ///< In the worker list, and not draining.
    int m_answering = 0; ///< The process has answered the last renewal.
    int m_not_avoided = 0;
    int m_off_trial = 0;
    int m_quiet = 0; ///< Quiet enough, if a suspected task needs that.
    int m_apart = 0; ///< Nothing there interferes with the step.
    int m_near_data = 0;
    int m_most_in_rack = 0; ///< Of m_apart, the most in one rack.

    friend bool operator==(const room_by_condition&,
                           const room_by_condition&) = default;
};

/// What decides whether a task of a due step is started.
struct wait_facts
{
    pending_run m_run = pending_run::none;
    /// The number of tasks that must be placed together.
    int m_needed = 1;
    bool m_one_rack = false; ///< The tasks are slower across racks.
    room_by_condition m_room;
    bool m_leaves_urgent_headroom = true;

    friend bool operator==(const wait_facts&, const wait_facts&) = default;
};

/// Returns the first condition that keeps the step from running.
wait_reason find_wait_reason(const wait_facts& facts);

/// Whether a job with a due step has anything running, and what was found out
/// about it.
struct job_idleness
{
    /// Since when nothing has been running though a step is due; empty if
    /// something runs or no step is due.
    std::optional<instant> m_since;
    std::optional<instant> m_explained_at;
    std::optional<instant> m_logged_at;
    std::optional<wait_reason> m_logged_reason;
    /// Workers had room for twice what the step needs when it was explained.
    bool m_room_for_two = false;

    /// Returns how long nothing has been running; 0 if something is.
    span lasts(instant now) const { return now - m_since.value_or(now); }
    /// Returns whether the cause is to be looked for now.
    bool is_explanation_due(instant now) const;
    /// Returns whether a line with this reason is to be logged now.
    bool is_line_due(wait_reason reason, instant now) const;

    friend bool operator==(const job_idleness&, const job_idleness&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
