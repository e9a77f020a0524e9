#ifndef KINGCUPRUDDER_REQUEST_REQUEST_SESSION_HPP
#define KINGCUPRUDDER_REQUEST_REQUEST_SESSION_HPP

#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/request/backoff.hpp>
#include <kingcuprudder/request/request_router.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kingcuprudder
{

/// One request of a caller to a service.
struct service_request
{
    request_key m_key;
    service_id m_service;
    bool m_idempotent = true;
    instant m_deadline;
    std::uint64_t m_content_hash = 0;
    std::string m_body;

    friend auto operator<=>(const service_request&,
                            const service_request&) = default;
};

/// Numbers the calls of one session, so that late answers are recognized.
using session_call_id = std::uint64_t;

/// Effect: request a permit from the region's owner once. The reply is passed
/// to on_permit.
struct ask_permit
{
    session_call_id m_call = 0;
    request_permit m_permit;
    span m_timeout;

    friend bool operator==(const ask_permit&, const ask_permit&) = default;
};

/// Effect: send the request to a target. The outcome is passed to
/// on_target_answer.
struct call_target
{
    session_call_id m_call = 0;
    target_ref m_target;
    span m_timeout;

    friend bool operator==(const call_target&, const call_target&) = default;
};

/// Effect: call on_timer at this time.
struct wait_until
{
    instant m_at;

    friend bool operator==(const wait_until&, const wait_until&) = default;
};

/// Effect: report the outcome to the region's owner once. The reply is passed
/// to on_report.
struct report_outcome
{
    session_call_id m_call = 0;
    end_request m_outcome;
    span m_timeout;

    friend bool operator==(const report_outcome&,
                           const report_outcome&) = default;
};

/// The answer that the caller receives when its request ran.
struct request_answer
{
    std::string m_body;

    friend bool operator==(const request_answer&,
                           const request_answer&) = default;
};

/// Effect: send the caller the answer or the error. Emitted exactly once.
struct answer_caller
{
    result<request_answer> m_answer;

    friend bool operator==(const answer_caller&,
                           const answer_caller&) = default;
};

using session_effect = std::variant<ask_permit, call_target, wait_until,
                                    report_outcome, answer_caller>;

/// Handles one admitted request until its caller is answered and the outcome is
/// reported. A state machine without I/O: each event returns the effects that
/// the owner of the session must execute. The router is shared by all sessions.
///
/// A request that is not idempotent is sent only under a permit of the region's
/// owner, and is sent to another target only if no earlier target started it.
class request_session
{
public:
    using effects = std::vector<session_effect>;

    /// How long after the deadline the outcome is still reported. At this time
    /// the owner itself ends the permit with verdict::may_have_run.
    static constexpr span report_grace_period = span::seconds(5);
    /// How long a request waits for an available target before it is refused.
    static constexpr span max_target_wait = span::seconds(1);

    /// The holder token must be unique among all sessions of all processes.
    request_session(service_request request, std::string holder,
                    request_router& router);

    effects start(instant now);
    effects on_permit(session_call_id call, const result<caller_reply>& reply,
                      instant now);
    effects on_target_answer(session_call_id call, const target_answer& answer,
                             instant now);
    effects on_timer(instant now);
    effects on_report(session_call_id call, const result<caller_reply>& reply,
                      instant now);

    const service_request& request() const { return m_request; }

    /// Whether the caller was answered; only reports to the owner may follow.
    bool answered() const { return m_answered; }

    /// Whether the session has ended and emits no further effects.
    bool finished() const { return m_state == state::finished; }

private:
    enum class state
    {
        idle,
        requesting_permit,
        waiting_to_request_permit,
        waiting_for_target,
        calling_target,
        reporting,
        waiting_to_report,
        finished,
    };

    effects request_permit_from_owner(instant now);
    effects dispatch(instant now);
    effects wait(state next, span delay, instant now);
    effects wait_for_target(instant now);
    effects retry_or_fail(const error& failure, instant now);
    effects fail_without_permit(const error& failure, instant now);
    effects end(verdict outcome, result<request_answer> answer, instant now);
    effects report(instant now);
    span target_timeout(instant now) const;

    service_request m_request;
    std::string m_holder;
    request_router& m_router;
    backoff m_backoff;
    state m_state = state::idle;
    session_call_id m_last_call_id = 0;
    /// Whether the owner may have granted the permit to this session.
    bool m_may_hold_permit = false;
    /// Whether a permit request went unanswered, so that another session may
    /// have dispatched the request.
    bool m_permit_uncertain = false;
    bool m_may_have_run = false;
    bool m_answered = false;
    std::optional<target_ref> m_target;
    std::vector<target_ref> m_tried_targets;
    std::optional<instant> m_waiting_since;
    end_request m_outcome;
};

} // namespace kingcuprudder

#endif
