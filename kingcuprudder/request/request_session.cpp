#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/request/owner_retry.hpp>
#include <kingcuprudder/request/request_session.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr span initial_delay = span(20);
constexpr span max_delay = span::seconds(2);
/// Maximum delay between two attempts to pick a target: a busy target becomes
/// available within milliseconds when one of its requests ends.
constexpr span max_target_retry_delay = span(100);
/// The owner answers a report within milliseconds; a report without an answer
/// is sent again after this timeout.
constexpr span report_timeout = span::seconds(2);
/// The remaining time is split between two attempts only if each of them gets
/// at least this long; shorter attempts are too short to succeed.
constexpr span min_split_timeout = span::seconds(1);

error make_error(error_code code, std::string message, verdict outcome)
{
    return error{code, std::move(message), outcome};
}

error describe(const permit_ended& ended)
{
    if (ended.m_verdict == verdict::not_run)
    {
        return make_error(error_code::target_unavailable,
                          "an earlier call with this id ended without running",
                          verdict::not_run);
    }
    return make_error(error_code::connection_lost,
                      "an earlier call with this id ended without an answer",
                      verdict::may_have_run);
}

} // namespace

request_session::request_session(service_request request, std::string holder,
                                 request_router& router)
    : m_request(std::move(request)), m_holder(std::move(holder)),
      m_router(router), m_backoff(initial_delay, max_delay, router.next_seed())
{
    m_outcome.m_request = m_request.m_key;
    m_outcome.m_holder = m_holder;
}

request_session::effects request_session::start(instant now)
{
    KCR_ASSERT(m_state == state::idle);
    return m_request.m_idempotent ? dispatch(now)
                                  : request_permit_from_owner(now);
}

request_session::effects request_session::request_permit_from_owner(instant now)
{
    if (now >= m_request.m_deadline)
    {
        return fail_without_permit(
            m_permit_uncertain
                ? make_error(error_code::deadline_exceeded,
                             "no definite answer from the region's owner by "
                             "the deadline",
                             verdict::may_have_run)
                : make_error(error_code::owner_unavailable,
                             "the region's owner could not be reached by the "
                             "deadline",
                             verdict::not_run),
            now);
    }
    m_state = state::requesting_permit;
    request_permit permit;
    permit.m_request = m_request.m_key;
    permit.m_content_hash = m_request.m_content_hash;
    permit.m_holder = m_holder;
    permit.m_deadline = m_request.m_deadline;
    return {ask_permit{++m_last_call_id, permit, m_request.m_deadline - now}};
}

request_session::effects
request_session::on_permit(session_call_id call,
                           const result<caller_reply>& reply, instant now)
{
    if (m_state != state::requesting_permit || call != m_last_call_id)
    {
        return {};
    }
    if (!succeeded(reply))
    {
        const error& failure = error_of(reply);
        // Without an answer, this session may hold the permit, or another
        // session's permit for the same request may be pending.
        const bool uncertain = failure.m_verdict != verdict::not_run;
        m_permit_uncertain |= uncertain;
        // An owner that cannot reach the store may have recorded the permit.
        m_may_hold_permit |=
            uncertain || failure.m_code == error_code::store_unavailable;
        if (!is_retryable(failure.m_code))
        {
            return fail_without_permit(failure, now);
        }
        return wait(state::waiting_to_request_permit, m_backoff.next(), now);
    }
    const caller_reply& value = value_of(reply);
    if (std::holds_alternative<permit_granted>(value))
    {
        m_permit_uncertain = false;
        m_may_hold_permit = true;
        m_backoff.reset();
        return dispatch(now);
    }
    m_may_hold_permit = false;
    if (const auto* ended = std::get_if<permit_ended>(&value))
    {
        if (ended->m_verdict == verdict::ran)
        {
            return end(verdict::ran, request_answer{ended->m_answer}, now);
        }
        return end(ended->m_verdict, describe(*ended), now);
    }
    const error unexpected = make_error(
        error_code::internal, "unexpected answer from the region's owner",
        verdict::may_have_run);
    return end(verdict::may_have_run, unexpected, now);
}

request_session::effects
request_session::fail_without_permit(const error& failure, instant now)
{
    error reported = failure;
    reported.m_verdict =
        m_permit_uncertain ? verdict::may_have_run : verdict::not_run;
    return end(verdict::not_run, reported, now);
}

request_session::effects request_session::dispatch(instant now)
{
    if (now >= m_request.m_deadline)
    {
        return retry_or_fail(
            make_error(
                error_code::deadline_exceeded,
                "the deadline passed before a target accepted the request",
                verdict::not_run),
            now);
    }
    m_target = m_router.pick(m_request.m_service, m_tried_targets);
    if (!m_target)
    {
        return wait_for_target(now);
    }
    m_waiting_since.reset();
    m_state = state::calling_target;
    return {call_target{++m_last_call_id, *m_target, target_timeout(now)}};
}

request_session::effects request_session::wait_for_target(instant now)
{
    if (!m_waiting_since)
    {
        m_waiting_since = now;
    }
    if (now - *m_waiting_since < max_target_wait)
    {
        const span delay = std::min(m_backoff.next(), max_target_retry_delay);
        return wait(state::waiting_for_target, delay, now);
    }
    const bool live = m_router.has_live_target(m_request.m_service);
    const error refusal =
        live ? make_error(error_code::limit_reached,
                          "all targets of the service are busy",
                          verdict::not_run)
             : make_error(error_code::target_unavailable,
                          "the service has no live target", verdict::not_run);
    const verdict outcome =
        m_may_have_run ? verdict::may_have_run : verdict::not_run;
    return end(outcome, error{refusal.m_code, refusal.m_message, outcome}, now);
}

span request_session::target_timeout(instant now) const
{
    const span remaining = m_request.m_deadline - now;
    if (m_request.m_idempotent && remaining / 2 >= min_split_timeout)
    {
        // Leaves time for another target if this one does not respond.
        return remaining / 2;
    }
    return remaining;
}

request_session::effects
request_session::on_target_answer(session_call_id call,
                                  const target_answer& answer, instant now)
{
    if (m_state != state::calling_target || call != m_last_call_id)
    {
        return {};
    }
    m_router.on_call_ended(*m_target, answer, now);
    m_tried_targets.push_back(*m_target);
    switch (answer.m_outcome)
    {
    case target_outcome::answered:
        return end(verdict::ran, request_answer{answer.m_body}, now);
    case target_outcome::rejected:
        return end(
            verdict::may_have_run,
            make_error(error_code::failed,
                       "the target rejected the request: " + answer.m_body,
                       verdict::may_have_run),
            now);
    case target_outcome::failed:
        m_may_have_run = true;
        return retry_or_fail(make_error(error_code::failed,
                                        "the target failed: " + answer.m_body,
                                        verdict::may_have_run),
                             now);
    case target_outcome::refused:
    case target_outcome::not_sent:
        return retry_or_fail(make_error(error_code::target_unavailable,
                                        "no target accepted the request",
                                        verdict::not_run),
                             now);
    case target_outcome::unknown:
        m_may_have_run = true;
        return retry_or_fail(make_error(now >= m_request.m_deadline
                                            ? error_code::deadline_exceeded
                                            : error_code::connection_lost,
                                        "no answer from the target",
                                        verdict::may_have_run),
                             now);
    }
    KCR_ASSERT(false);
    return {};
}

request_session::effects request_session::retry_or_fail(const error& failure,
                                                        instant now)
{
    const bool safe_to_retry = m_request.m_idempotent || !m_may_have_run;
    const span delay = m_backoff.next();
    const bool in_time = now + delay < m_request.m_deadline;
    if (safe_to_retry && in_time &&
        m_router.try_take_retry(m_request.m_service))
    {
        return wait(state::waiting_for_target, delay, now);
    }
    error reported = failure;
    reported.m_verdict =
        m_may_have_run ? verdict::may_have_run : verdict::not_run;
    return end(reported.m_verdict, reported, now);
}

request_session::effects request_session::wait(state next, span delay,
                                               instant now)
{
    m_state = next;
    return {wait_until{std::min(now + delay, m_request.m_deadline)}};
}

request_session::effects request_session::on_timer(instant now)
{
    switch (m_state)
    {
    case state::waiting_to_request_permit:
        return request_permit_from_owner(now);
    case state::waiting_for_target:
        return dispatch(now);
    case state::waiting_to_report:
        return report(now);
    default:
        return {};
    }
}

request_session::effects request_session::end(verdict outcome,
                                              result<request_answer> answer,
                                              instant now)
{
    KCR_ASSERT(!m_answered);
    m_answered = true;
    m_router.release(m_request.m_key.m_account, m_request.m_service);
    m_outcome.m_verdict = outcome;
    if (succeeded(answer))
    {
        m_outcome.m_answer = value_of(answer).m_body;
    }
    effects all{answer_caller{std::move(answer)}};
    if (!m_may_hold_permit)
    {
        m_state = state::finished;
        return all;
    }
    m_backoff.reset();
    for (session_effect& each : report(now))
    {
        all.push_back(std::move(each));
    }
    return all;
}

request_session::effects request_session::report(instant now)
{
    if (now >= m_request.m_deadline + report_grace_period)
    {
        m_state = state::finished;
        return {};
    }
    m_state = state::reporting;
    return {report_outcome{++m_last_call_id, m_outcome, report_timeout}};
}

request_session::effects
request_session::on_report(session_call_id call,
                           const result<caller_reply>& reply, instant now)
{
    if (m_state != state::reporting || call != m_last_call_id)
    {
        return {};
    }
    // Any other error means that the owner has no such open permit.
    const bool retry =
        !succeeded(reply) &&
        (is_retryable(error_of(reply).m_code) ||
         error_of(reply).m_code == error_code::store_unavailable);
    if (!retry)
    {
        m_state = state::finished;
        return {};
    }
    m_state = state::waiting_to_report;
    return {wait_until{now + m_backoff.next()}};
}

} // namespace kingcuprudder
