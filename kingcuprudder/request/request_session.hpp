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

/// Counts the calls of one session, so that late answers are recognized.
using session_call_id = std::uint64_t;

/// Ask the region's owner once; answered by on_permit.
struct ask_permit
{
    session_call_id m_call = 0;
    request_permit m_permit;
    span m_timeout;

    friend bool operator==(const ask_permit&, const ask_permit&) = default;
};

/// Send the request to a target; answered by on_target_answer.
struct call_target
{
    session_call_id m_call = 0;
    target_ref m_target;
    span m_timeout;

    friend bool operator==(const call_target&, const call_target&) = default;
};

/// Call on_timer at this time.
struct wait_until
{
    instant m_at;

    friend bool operator==(const wait_until&, const wait_until&) = default;
};

/// Report the outcome to the region's owner once; answered by on_report.
struct report_outcome
{
    session_call_id m_call = 0;
    end_request m_outcome;
    span m_timeout;

    friend bool operator==(const report_outcome&,
                           const report_outcome&) = default;
};

/// What the caller of a request receives when it ran.
struct request_answer
{
    std::string m_body;

    friend bool operator==(const request_answer&,
                           const request_answer&) = default;
};

/// Tell the caller how its request ended. Emitted exactly once.
struct answer_caller
{
    result<request_answer> m_answer;

    friend bool operator==(const answer_caller&,
                           const answer_caller&) = default;
};

using session_effect = std::variant<ask_permit, call_target, wait_until,
                                    report_outcome, answer_caller>;

/// Carries one admitted request from its caller to a target and back. A pure
/// state machine over a router that it shares with the other sessions.
///
/// A request that is not idempotent is sent only under a permit of the
/// region's owner, and to another target only when all earlier targets are
/// known not to have started it.
class request_session
{
public:
    using effects = std::vector<session_effect>;

    /// How long an outcome is reported after the deadline. The owner itself
    /// ends the permit as "may have run" at this time.
    static constexpr span report_after_deadline = span::seconds(5);
    /// How long a request waits for a target with room before it is refused.
    static constexpr span longest_target_wait = span::seconds(1);

    /// The holder token is unique among all sessions of all processes.
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

    /// Whether the caller has its answer; only reports may still follow.
    bool answered() const { return m_answered; }

    /// Whether nothing is left to do.
    bool finished() const { return m_state == state::finished; }

private:
    enum class state
    {
        idle,
        asking_permit,
        waiting_to_ask,
        waiting_for_target,
        calling_target,
        reporting,
        waiting_to_report,
        finished,
    };

    effects ask(instant now);
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
    session_call_id m_last_call = 0;
    /// The owner may have granted a permit to this session.
    bool m_may_hold_permit = false;
    /// The owner may know of an earlier dispatch of this request.
    bool m_permit_unclear = false;
    bool m_may_have_run = false;
    bool m_answered = false;
    std::optional<target_ref> m_target;
    std::vector<target_ref> m_tried;
    std::optional<instant> m_waiting_since;
    end_request m_outcome;
};

} // namespace kingcuprudder

#endif
