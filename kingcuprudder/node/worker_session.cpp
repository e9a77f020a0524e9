#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/worker_session.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder::node
{

namespace
{

constexpr span order_timeout = span(450);
constexpr span renewal_wait = span(1500);
constexpr span renewal_timeout = span(600);
constexpr span failed_renewal_pause = span(350);
// The next renewal waits up to this long until the reported completions are
// acknowledged, as the worker would otherwise report the same ones at once.
constexpr span acknowledgement_wait = span(700);
// A worker that has not answered for longer may have restarted. It then numbers
// its completions anew, so the last number is no acknowledgement.
constexpr span acknowledgement_validity = span(1000);
// The lease that a start order grants; the next renewal extends it. A short
// lease bounds how late an unanswered start can take effect.
constexpr span start_lease = span(2000);

} // namespace

worker_session::worker_session(event_loop& loop, std::string address,
                               std::unique_ptr<worker_calls> calls,
                               std::shared_ptr<term> current_term,
                               span worker_lease, hooks callbacks)
    : m_loop(loop), m_address(std::move(address)), m_calls(std::move(calls)),
      m_term(std::move(current_term)), m_worker_lease(worker_lease),
      m_hooks(std::move(callbacks))
{
}

void worker_session::update(const dispatch::renewal_request& request)
{
    if (m_last_update == request)
    {
        return;
    }
    m_last_update = request;
    m_loop.post([self = shared_from_this(), request]
                { self->apply_update(request); });
}

void worker_session::send(order next)
{
    m_loop.post(
        [self = shared_from_this(), next = std::move(next)]
        {
            self->enqueue(next);
            self->execute_next();
        });
}

void worker_session::enqueue(const order& next)
{
    const bool waits_already = std::any_of(m_orders.begin(), m_orders.end(),
                                           [&next](const waiting_order& waiting)
                                           { return waiting.m_order == next; });
    if (waits_already)
    {
        return;
    }
    if (const auto* stop = std::get_if<dispatch::stop_order>(&next))
    {
        std::erase_if(
            m_orders,
            [stop](const waiting_order& waiting)
            {
                const auto* start =
                    std::get_if<dispatch::start_order>(&waiting.m_order);
                return start != nullptr && start->m_run == stop->m_run;
            });
    }
    m_orders.push_back({next, boottime_now()});
}

void worker_session::close()
{
    m_loop.post(
        [self = shared_from_this()]
        {
            self->m_closed = true;
            self->m_renewal_timer = event_loop::timer();
            self->m_calls->cancel();
            self->execute_next();
        });
}

void worker_session::apply_update(const dispatch::renewal_request& request)
{
    if (request.m_incarnation != m_incarnation && request.m_incarnation != 0)
    {
        m_incarnation = request.m_incarnation;
        if (request.m_incarnation != m_answering_incarnation)
        {
            m_clock.reset();
        }
        m_last_acknowledged = 0;
        m_highest_completion = 0;
        m_unanswered_lease_end.reset();
    }
    m_request = request;
    consider_renewal();
}

bool worker_session::is_renewal_due() const
{
    return m_request.m_needed ||
           m_request.m_acknowledged > m_last_acknowledged ||
           !m_clock.is_known() || start_needs_clock();
}

bool worker_session::start_needs_clock() const
{
    return !m_orders.empty() &&
           std::holds_alternative<dispatch::start_order>(
               m_orders.front().m_order) &&
           !m_clock.is_recent(boottime_now());
}

void worker_session::consider_renewal()
{
    const bool waits =
        m_renewal_phase == renewal_phase::idle ||
        m_renewal_phase == renewal_phase::awaiting_acknowledgement;
    if (m_closed || !waits || !is_renewal_due())
    {
        return;
    }
    if (m_request.m_acknowledged >= m_highest_completion || start_needs_clock())
    {
        renew();
    }
    else if (m_renewal_phase == renewal_phase::idle)
    {
        m_renewal_phase = renewal_phase::awaiting_acknowledgement;
        m_renewal_timer =
            m_loop.run_after(acknowledgement_wait,
                             [self = shared_from_this()] { self->renew(); });
    }
}

void worker_session::renew()
{
    if (!m_term->is_valid())
    {
        pause_renewals();
        return;
    }
    m_renewal_phase = renewal_phase::in_flight;
    m_renewal_timer = event_loop::timer();
    renewal_call call;
    call.m_fence = m_term->fence();
    const instant sent = boottime_now();
    const bool answered_recently =
        m_last_renewal_answered &&
        sent - m_last_answer <= acknowledgement_validity;
    call.m_acknowledged = answered_recently ? m_request.m_acknowledged : 0;
    call.m_wait =
        answered_recently && m_request.m_needed ? renewal_wait : span(0);
    // A renewal after an unanswered one repeats its lease end. If each attempt
    // extended the lease of an unresponsive worker, its lease would never
    // expire and its tasks could never be assigned to another worker.
    const bool repeats = m_unanswered_lease_end.has_value();
    call.m_lease_end_clock = repeats ? m_unanswered_lease_end
                                     : m_clock.lease_end(m_worker_lease, sent);
    if (!repeats && call.m_lease_end_clock)
    {
        m_hooks.m_renewal_sent(m_request.m_worker, sent);
    }
    m_calls->renew(
        call, call.m_wait + renewal_timeout,
        [self = shared_from_this(), call, sent](const renewal_answer& answer)
        { self->finish_renewal(call, sent, answer); });
}

void worker_session::finish_renewal(const renewal_call& call, instant sent,
                                    const renewal_answer& answer)
{
    m_renewal_phase = renewal_phase::idle;
    if (m_closed)
    {
        return;
    }
    if (const auto* report = std::get_if<dispatch::worker_report>(&answer))
    {
        apply_report(call, sent, *report);
        continue_after_report();
        return;
    }
    const auto& result = std::get<dispatch::call_result>(answer);
    if (result.m_outcome == dispatch::order_outcome::refused_fence)
    {
        m_term->end();
        return;
    }
    m_last_renewal_answered = false;
    m_unanswered_lease_end = call.m_lease_end_clock;
    m_hooks.m_renewal_failed(m_request.m_worker, result);
    pause_renewals();
    execute_next();
}

void worker_session::continue_after_report()
{
    if (m_clock.is_known())
    {
        consider_renewal();
    }
    else
    {
        pause_renewals();
    }
    execute_next();
}

void worker_session::apply_report(const renewal_call& call, instant sent,
                                  const dispatch::worker_report& report)
{
    m_last_answer = boottime_now();
    m_answering_incarnation = report.m_incarnation;
    m_clock.observe(report.m_clock, m_last_answer);
    m_last_renewal_answered = true;
    m_unanswered_lease_end.reset();
    m_last_acknowledged = std::max(m_last_acknowledged, call.m_acknowledged);
    for (const dispatch::completion_report& end : report.m_ended)
    {
        m_highest_completion = std::max(m_highest_completion, end.m_number);
    }
    m_hooks.m_renewal_answered(m_request.m_worker, report, sent);
}

void worker_session::pause_renewals()
{
    m_renewal_phase = renewal_phase::pausing;
    m_renewal_timer = m_loop.run_after(failed_renewal_pause,
                                       [self = shared_from_this()]
                                       {
                                           self->m_renewal_phase =
                                               renewal_phase::idle;
                                           self->consider_renewal();
                                       });
}

void worker_session::execute_next()
{
    while (!m_orders.empty() && (m_closed || !m_order_in_flight))
    {
        if (start_needs_clock())
        {
            consider_renewal();
        }
        const bool needs_clock = start_needs_clock();
        if (!m_closed && needs_clock &&
            m_renewal_phase == renewal_phase::in_flight)
        {
            return; // The answer to the renewal contains the clock.
        }
        const waiting_order next = std::move(m_orders.front());
        m_orders.pop_front();
        const bool outlasts_lease =
            std::holds_alternative<dispatch::start_order>(next.m_order) &&
            start_lease_of(next) < order_timeout;
        if (m_closed || needs_clock || outlasts_lease || !m_term->is_valid())
        {
            report_order(next.m_order, {dispatch::order_outcome::not_sent,
                                        dispatch::call_failure::given_up});
            continue;
        }
        send_order(next);
    }
}

span worker_session::start_lease_of(const waiting_order& start) const
{
    const span waited = boottime_now() - start.m_queued_at;
    return std::min(start_lease, m_worker_lease - waited);
}

void worker_session::send_order(const waiting_order& next)
{
    m_order_in_flight = true;
    const auto done = [self = shared_from_this(),
                       sent = next.m_order](const order_answer& answer)
    { self->finish_order(sent, answer); };
    if (const auto* start = std::get_if<dispatch::start_order>(&next.m_order))
    {
        m_calls->start(*start, m_term->fence(),
                       *m_clock.lease_end(start_lease_of(next), boottime_now()),
                       order_timeout, done);
        return;
    }
    m_calls->stop(std::get<dispatch::stop_order>(next.m_order), m_term->fence(),
                  order_timeout, done);
}

void worker_session::finish_order(const order& sent, const order_answer& answer)
{
    m_order_in_flight = false;
    if (answer.m_clock)
    {
        m_clock.observe(*answer.m_clock, boottime_now());
    }
    report_order(sent, answer.m_result);
    execute_next();
}

void worker_session::report_order(const order& sent,
                                  const dispatch::call_result& result)
{
    if (const auto* start = std::get_if<dispatch::start_order>(&sent))
    {
        m_hooks.m_start_finished(*start, result);
        return;
    }
    m_hooks.m_stop_finished(std::get<dispatch::stop_order>(sent),
                            result.m_outcome);
}

} // namespace kingcuprudder::node
