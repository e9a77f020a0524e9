#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/worker_session.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuprudder::node
{

namespace
{

constexpr span order_timeout = span(450);
constexpr span renewal_wait = span(1500);
constexpr span renewal_timeout = span(600);
constexpr span failed_renewal_pause = span(350);
// The store takes some milliseconds to raise the fencing token that a new
// process of the worker has to accept before it gets work.
constexpr span fence_pause = span(100);
// The next renewal waits up to this long until the reported completions are
// acknowledged, as the worker would otherwise report the same ones at once.
constexpr span acknowledgement_wait = span(700);
// A worker that has not answered for longer may have restarted. It then numbers
// its completions anew, so the last number is no acknowledgement.
constexpr span acknowledgement_validity = span(1000);
// The lease that a start order grants; the next renewal extends it. A short
// lease bounds how late an unanswered start can take effect.
constexpr span start_lease = span(2000);
// Further orders are sent beside one that has had no answer for this long. An
// order usually takes less, and each that is in flight needs a connection.
constexpr span order_overlap_delay = span(10);
// All runs of a worker can be stopped in time although each stop takes as long
// as it may.
constexpr std::size_t max_orders_in_flight = 32;
const dispatch::call_result given_up{dispatch::order_outcome::not_sent,
                                     dispatch::call_failure::given_up};

bool is_stop(const worker_session::order& checked)
{
    return std::holds_alternative<dispatch::stop_order>(checked);
}

const dispatch::task_ref& task_of(const worker_session::order& checked)
{
    const auto* start = std::get_if<dispatch::start_order>(&checked);
    return start == nullptr
               ? std::get<dispatch::stop_order>(checked).m_run.m_task
               : start->m_run.m_task;
}

} // namespace

worker_session::worker_session(event_loop& loop, std::string address,
                               std::unique_ptr<worker_calls> calls,
                               std::shared_ptr<term> current_term,
                               span worker_lease, order_slots& slots,
                               hooks callbacks)
    : m_loop(loop), m_address(std::move(address)), m_calls(std::move(calls)),
      m_term(std::move(current_term)), m_worker_lease(worker_lease),
      m_slots(slots), m_hooks(std::move(callbacks))
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

void worker_session::withdraw(const dispatch::run_ref& run)
{
    m_loop.post([self = shared_from_this(), run]
                { self->remove_waiting_start(run); });
}

void worker_session::remove_waiting_start(const dispatch::run_ref& run)
{
    std::erase_if(m_orders,
                  [&run](const order& waiting)
                  {
                      const auto* start =
                          std::get_if<dispatch::start_order>(&waiting);
                      return start != nullptr && start->m_run == run;
                  });
}

void worker_session::give_up_waiting_starts()
{
    const auto first =
        std::stable_partition(m_orders.begin(), m_orders.end(), is_stop);
    const std::vector<order> starts(first, m_orders.end());
    m_orders.erase(first, m_orders.end());
    for (const order& start : starts)
    {
        report_order(start, given_up);
    }
    execute_next();
}

void worker_session::enqueue(const order& next)
{
    if (m_request.m_draining && !is_stop(next))
    {
        report_order(next, given_up);
        return;
    }
    if (std::find(m_orders.begin(), m_orders.end(), next) != m_orders.end())
    {
        return;
    }
    if (const auto* stop = std::get_if<dispatch::stop_order>(&next))
    {
        remove_waiting_start(stop->m_run);
    }
    m_orders.push_back(next);
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
        m_lease_unanswered = false;
    }
    m_request = request;
    if (m_request.m_draining)
    {
        give_up_waiting_starts();
    }
    consider_renewal();
}

bool worker_session::is_renewal_due() const
{
    return m_request.m_needed ||
           m_request.m_acknowledged > m_last_acknowledged ||
           !m_clock.is_known() || start_needs_clock(boottime_now());
}

bool worker_session::start_needs_clock(instant now) const
{
    const std::size_t next = next_order();
    return next < m_orders.size() && !is_stop(m_orders[next]) &&
           !m_clock.is_recent(now);
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
    if (m_request.m_acknowledged >= m_highest_completion ||
        start_needs_clock(boottime_now()))
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
    // The lease is counted from the time at which the term is known to be
    // valid: this thread may stand still between two readings.
    const instant sent = boottime_now();
    if (!m_term->is_valid_at(sent))
    {
        pause_renewals(failed_renewal_pause);
        return;
    }
    m_renewal_phase = renewal_phase::in_flight;
    m_renewal_timer = event_loop::timer();
    renewal_call call;
    call.m_fence = m_term->fence();
    const bool answered_recently =
        m_last_renewal_answered &&
        sent - m_last_answer <= acknowledgement_validity;
    call.m_acknowledged = answered_recently ? m_request.m_acknowledged : 0;
    const bool may_wait = answered_recently && m_request.m_needed &&
                          !awaits_fence() && !m_lease_overdue;
    call.m_wait = may_wait ? renewal_wait : span(0);
    // A renewal after an unanswered one extends no lease. Else the lease of an
    // unresponsive worker would never end, and its tasks could never be
    // assigned to another one. A time of the earlier process's clock extends
    // the lease of the next one from each arrival, so that it is not repeated
    // either.
    if (!m_lease_unanswered)
    {
        call.m_lease_end_clock = m_clock.lease_end(m_worker_lease, sent);
    }
    if (call.m_lease_end_clock)
    {
        m_hooks.m_lease_sent(m_request.m_worker, sent);
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
        if (!ends_term(call.m_fence))
        {
            consider_renewal();
        }
        return;
    }
    m_last_renewal_answered = false;
    m_lease_unanswered =
        m_lease_unanswered || call.m_lease_end_clock.has_value();
    m_lease_overdue = m_lease_overdue || m_lease_unanswered;
    m_hooks.m_renewal_failed(m_request.m_worker, result, sent);
    pause_renewals(failed_renewal_pause);
    execute_next();
}

bool worker_session::ends_term(std::int64_t refused_fence)
{
    const bool ends = refused_fence >= m_term->fence();
    if (ends)
    {
        m_term->end();
    }
    return ends;
}

bool worker_session::awaits_fence() const
{
    return m_accepted_fence < m_request.m_min_fence;
}

void worker_session::continue_after_report()
{
    const bool is_new_process = m_incarnation != 0 &&
                                m_answering_incarnation != 0 &&
                                m_answering_incarnation != m_incarnation;
    if (is_new_process || awaits_fence())
    {
        pause_renewals(fence_pause);
    }
    else if (m_clock.is_known())
    {
        consider_renewal();
    }
    else
    {
        pause_renewals(failed_renewal_pause);
    }
    execute_next();
}

void worker_session::apply_report(const renewal_call& call, instant sent,
                                  const dispatch::worker_report& report)
{
    m_last_answer = boottime_now();
    m_answering_incarnation = report.m_incarnation;
    m_accepted_fence = call.m_fence;
    m_clock.observe(report.m_clock, m_last_answer);
    m_last_renewal_answered = true;
    m_lease_unanswered = false;
    m_lease_overdue = m_lease_overdue && !call.m_lease_end_clock;
    m_last_acknowledged = std::max(m_last_acknowledged, call.m_acknowledged);
    for (const dispatch::completion_report& end : report.m_ended)
    {
        m_highest_completion = std::max(m_highest_completion, end.m_number);
    }
    dispatch::worker_report answer = report;
    answer.m_fence = call.m_fence;
    m_hooks.m_renewal_answered(m_request.m_worker, answer, sent);
}

void worker_session::pause_renewals(span pause)
{
    m_renewal_phase = renewal_phase::pausing;
    m_renewal_timer = m_loop.run_after(pause,
                                       [self = shared_from_this()]
                                       {
                                           self->m_renewal_phase =
                                               renewal_phase::idle;
                                           self->consider_renewal();
                                       });
}

std::size_t worker_session::next_order() const
{
    const auto found =
        std::find_if(m_orders.begin(), m_orders.end(),
                     [this](const order& waiting)
                     { return !m_tasks_in_flight.contains(task_of(waiting)); });
    return static_cast<std::size_t>(found - m_orders.begin());
}

bool worker_session::may_send_order(instant now)
{
    if (m_tasks_in_flight.empty())
    {
        return true;
    }
    const span unanswered = now - m_last_order_sent;
    if (unanswered < order_overlap_delay)
    {
        m_order_timer = m_loop.run_after(order_overlap_delay - unanswered,
                                         [self = shared_from_this()]
                                         { self->execute_next(); });
        return false;
    }
    return m_tasks_in_flight.size() < max_orders_in_flight &&
           m_slots.any_free();
}

void worker_session::order_sent(const dispatch::task_ref& task, instant now)
{
    if (!m_tasks_in_flight.empty())
    {
        m_slots.take();
    }
    m_tasks_in_flight.insert(task);
    m_last_order_sent = now;
}

void worker_session::order_finished(const dispatch::task_ref& task)
{
    m_tasks_in_flight.erase(task);
    if (!m_tasks_in_flight.empty())
    {
        m_slots.give_back();
    }
}

void worker_session::give_up_orders()
{
    for (const order& waiting : std::exchange(m_orders, {}))
    {
        report_order(waiting, given_up);
    }
}

void worker_session::execute_next()
{
    if (m_closed)
    {
        give_up_orders();
        return;
    }
    for (std::size_t at = next_order(); at < m_orders.size(); at = next_order())
    {
        const instant now = boottime_now();
        if (!may_send_order(now))
        {
            return;
        }
        const bool needs_clock = start_needs_clock(now);
        if (needs_clock)
        {
            consider_renewal();
        }
        if (needs_clock && m_renewal_phase == renewal_phase::in_flight)
        {
            return; // The answer to the renewal contains the clock.
        }
        const order next = std::move(m_orders[at]);
        m_orders.erase(m_orders.begin() + static_cast<std::ptrdiff_t>(at));
        const auto reason =
            needs_clock ? given_up : reason_not_to_send(next, now);
        if (reason)
        {
            report_order(next, *reason);
            continue;
        }
        send_order(next, now);
    }
}

std::optional<dispatch::call_result>
worker_session::reason_not_to_send(const order& next, instant now) const
{
    if (!m_term->is_valid_at(now))
    {
        return given_up;
    }
    const auto* start = std::get_if<dispatch::start_order>(&next);
    if (start == nullptr)
    {
        return std::nullopt;
    }
    if (start_lease_of(*start, now) < order_timeout)
    {
        return given_up;
    }
    if (start->m_fence < m_term->fence())
    {
        return dispatch::order_outcome::refused_own_fence;
    }
    return std::nullopt;
}

std::int64_t worker_session::fence_of(const order& next) const
{
    const auto* start = std::get_if<dispatch::start_order>(&next);
    return start == nullptr ? m_term->fence() : start->m_fence;
}

span worker_session::start_lease_of(const dispatch::start_order& start,
                                    instant now) const
{
    const span waited = now - start.m_made_at;
    return std::min(start_lease, m_worker_lease - waited);
}

void worker_session::send_order(const order& next, instant now)
{
    order_sent(task_of(next), now);
    const std::int64_t fence = fence_of(next);
    const auto done =
        [self = shared_from_this(), next, fence,
         incarnation = m_answering_incarnation](const order_answer& answer)
    { self->finish_order(next, fence, incarnation, answer); };
    if (const auto* start = std::get_if<dispatch::start_order>(&next))
    {
        // A next process counts the lease from the arrival of the start.
        m_hooks.m_lease_sent(start->m_worker, now);
        m_calls->start(*start, fence,
                       *m_clock.lease_end(start_lease_of(*start, now), now),
                       order_timeout, done);
        return;
    }
    m_calls->stop(std::get<dispatch::stop_order>(next), fence, order_timeout,
                  done);
}

void worker_session::finish_order(const order& sent, std::int64_t fence,
                                  std::int64_t incarnation,
                                  const order_answer& answer)
{
    order_finished(task_of(sent));
    if (answer.m_clock && incarnation == m_answering_incarnation)
    {
        m_clock.observe(*answer.m_clock, boottime_now());
    }
    const bool raised_since =
        answer.m_result.m_outcome == dispatch::order_outcome::refused_fence &&
        fence < m_term->fence();
    report_order(sent, raised_since
                           ? dispatch::call_result(
                                 dispatch::order_outcome::refused_own_fence)
                           : answer.m_result);
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
