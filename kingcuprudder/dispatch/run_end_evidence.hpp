#ifndef KINGCUPRUDDER_DISPATCH_RUN_END_EVIDENCE_HPP
#define KINGCUPRUDDER_DISPATCH_RUN_END_EVIDENCE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/decision_log.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>

#include <cstdint>
#include <string>

namespace kingcuprudder::dispatch
{

/// Shows that a run is over in one process of its worker: what shows it, which
/// process, and up to when. Only such evidence releases a run, so that its task
/// may be started elsewhere. It says nothing about unanswered starts, which a
/// later process of the worker may still carry out.
class run_end_evidence
{
public:
    enum class kind
    {
        never_sent,       ///< No start was sent.
        refused,          ///< The only start was refused or not sent.
        reported,         ///< The process reported the end.
        unlisted,         ///< The process does not list the run.
        lease_over,       ///< The process must have killed the run.
        process_ended,    ///< A later process answers under the worker's id.
        process_replaced, ///< Another worker's process answers at its address.
        left              ///< The process has left as it had announced.
    };

    /// The reason says why the start is not sent.
    static run_end_evidence never_sent(std::string reason, instant now);
    static run_end_evidence refused(order_outcome outcome, std::int64_t process,
                                    instant now);
    static run_end_evidence reported(std::int64_t process, instant now);
    /// The list was requested after the process had accepted the run or its
    /// stop.
    static run_end_evidence unlisted(std::int64_t process, instant accepted,
                                     instant requested);
    /// All renewals that were sent before `known_until` are known, and the
    /// lease had ended by then.
    static run_end_evidence lease_over(std::int64_t process, instant lease_end,
                                       instant known_until);
    /// The later process answered a call that was sent at the given time.
    static run_end_evidence process_ended(std::int64_t process,
                                          instant requested);
    static run_end_evidence process_replaced(std::int64_t process, instant now);
    /// The process drained, its entry in the worker list was removed, and its
    /// machine refused a connection for a call that was sent after that.
    static run_end_evidence left(std::int64_t process, instant removed,
                                 instant requested);

    kind what() const { return m_kind; }
    /// Returns the reason as it is logged.
    const std::string& reason() const { return m_reason; }
    /// Returns the fields that say who gave the evidence, and when.
    decision_fields fields(instant now) const;

    friend bool operator==(const run_end_evidence&,
                           const run_end_evidence&) = default;

private:
    run_end_evidence(kind what, std::string reason, std::int64_t process,
                     instant shown_at);

    kind m_kind;
    std::string m_reason;
    /// The incarnation in which the run is over; 0 for none.
    std::int64_t m_process;
    /// The run was over at this time.
    instant m_shown_at;
};

} // namespace kingcuprudder::dispatch

#endif
