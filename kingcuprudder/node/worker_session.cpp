#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/worker_session.hpp>

#include <algorithm>
#include <chrono>

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
// The lease that a start order grants; the next renewal extends it. A short
// lease bounds how late an unanswered start can take effect.
constexpr span start_lease = span(2000);

} // namespace

worker_session::worker_session(std::string address,
                               std::unique_ptr<worker_calls> calls,
                               std::shared_ptr<term> current_term,
                               span worker_lease, const hooks& callbacks)
    : m_address(std::move(address)), m_calls(std::move(calls)),
      m_term(std::move(current_term)), m_worker_lease(worker_lease),
      m_hooks(callbacks), m_renewal_thread([this] { run_renewals(); })
{
}

worker_session::~worker_session()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_calls->cancel();
    m_renewal_thread.join();
    if (m_order_thread.joinable())
    {
        m_order_thread.join();
    }
}

void worker_session::update(const dispatch::renewal_request& request)
{
    {
        std::lock_guard lock(m_mutex);
        if (request == m_request)
        {
            return;
        }
        if (request.m_incarnation != m_incarnation &&
            request.m_incarnation != 0)
        {
            m_incarnation = request.m_incarnation;
            m_clock.reset();
            m_last_acknowledged = 0;
            m_highest_completion = 0;
            m_unanswered_lease_end.reset();
        }
        m_request = request;
        if (request.m_clock != 0 &&
            (!m_clock || m_clock->m_read_at < request.m_clock_read_at))
        {
            m_clock = clock_reading{request.m_clock, request.m_clock_read_at};
        }
    }
    m_changed.notify_all();
}

void worker_session::send(order next)
{
    {
        std::lock_guard lock(m_mutex);
        m_orders.push_back(std::move(next));
        if (!m_order_thread.joinable())
        {
            m_order_thread = std::thread([this] { run_orders(); });
        }
    }
    m_changed.notify_all();
}

bool worker_session::is_renewal_due() const
{
    return m_request.m_needed || m_request.m_acknowledged > m_last_acknowledged;
}

void worker_session::run_renewals()
{
    while (true)
    {
        dispatch::renewal_request request;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock,
                           [this] { return m_stopping || is_renewal_due(); });
            if (m_stopping)
            {
                return;
            }
            m_changed.wait_for(
                lock, std::chrono::milliseconds(acknowledgement_wait.count()),
                [this] {
                    return m_stopping ||
                           m_request.m_acknowledged >= m_highest_completion;
                });
            if (m_stopping)
            {
                return;
            }
            request = m_request;
        }
        if (!m_term->is_valid())
        {
            pause(failed_renewal_pause);
            continue;
        }
        renew(request);
    }
}

void worker_session::renew(const dispatch::renewal_request& request)
{
    renewal_call call;
    call.m_fence = m_term->fence();
    call.m_acknowledged = request.m_acknowledged;
    bool extends = false;
    {
        std::lock_guard lock(m_mutex);
        call.m_wait = m_last_renewal_answered && request.m_needed ? renewal_wait
                                                                  : span(0);
    }
    // A renewal after an unanswered one repeats its lease end. If each attempt
    // extended the lease of an unresponsive worker, its lease would never
    // expire and its tasks could never be assigned to another worker.
    if (m_unanswered_lease_end)
    {
        call.m_lease_end_clock = m_unanswered_lease_end;
    }
    else
    {
        call.m_lease_end_clock = lease_end_clock(m_worker_lease);
        extends = call.m_lease_end_clock.has_value();
    }
    const instant sent = boottime_now();
    if (extends)
    {
        m_hooks.m_renewal_sent(request.m_worker, sent);
    }
    const renewal_answer answer =
        m_calls->renew(call, call.m_wait + renewal_timeout);
    const auto* report = std::get_if<dispatch::worker_report>(&answer);
    if (report == nullptr)
    {
        if (std::get<dispatch::order_outcome>(answer) ==
            dispatch::order_outcome::refused_fence)
        {
            m_term->end();
            return;
        }
        {
            std::lock_guard lock(m_mutex);
            if (m_stopping)
            {
                return;
            }
            m_last_renewal_answered = false;
            m_unanswered_lease_end = call.m_lease_end_clock;
        }
        m_hooks.m_renewal_failed(request.m_worker);
        pause(failed_renewal_pause);
        return;
    }
    update_clock(report->m_clock, boottime_now());
    {
        std::lock_guard lock(m_mutex);
        m_last_renewal_answered = true;
        m_unanswered_lease_end.reset();
        m_last_acknowledged =
            std::max(m_last_acknowledged, call.m_acknowledged);
        for (const dispatch::completion_report& end : report->m_ended)
        {
            m_highest_completion = std::max(m_highest_completion, end.m_number);
        }
    }
    m_hooks.m_renewal_answered(request.m_worker, *report, sent);
}

void worker_session::run_orders()
{
    while (true)
    {
        order next;
        {
            std::unique_lock lock(m_mutex);
            m_changed.wait(lock,
                           [this] { return m_stopping || !m_orders.empty(); });
            if (m_stopping)
            {
                return;
            }
            next = std::move(m_orders.front());
            m_orders.pop_front();
        }
        execute(next);
    }
}

void worker_session::execute(const order& next)
{
    using dispatch::order_outcome;
    const bool valid = m_term->is_valid();
    if (const auto* start = std::get_if<dispatch::start_order>(&next))
    {
        const std::optional<std::int64_t> lease_end =
            lease_end_clock(start_lease);
        m_hooks.m_start_finished(*start, valid && lease_end
                                             ? apply_answer(m_calls->start(
                                                   *start, m_term->fence(),
                                                   *lease_end, order_timeout))
                                             : order_outcome::not_sent);
        return;
    }
    const auto& stop = std::get<dispatch::stop_order>(next);
    m_hooks.m_stop_finished(
        stop, valid ? apply_answer(
                          m_calls->stop(stop, m_term->fence(), order_timeout))
                    : order_outcome::not_sent);
}

dispatch::order_outcome worker_session::apply_answer(const order_answer& answer)
{
    if (answer.m_clock)
    {
        update_clock(*answer.m_clock, boottime_now());
    }
    return answer.m_outcome;
}

std::optional<std::int64_t> worker_session::lease_end_clock(span length)
{
    std::lock_guard lock(m_mutex);
    if (!m_clock)
    {
        return std::nullopt;
    }
    const span elapsed = boottime_now() - m_clock->m_read_at;
    return m_clock->m_clock + elapsed.count() + length.count();
}

void worker_session::update_clock(std::int64_t clock, instant read_at)
{
    std::lock_guard lock(m_mutex);
    if (clock != 0)
    {
        m_clock = clock_reading{clock, read_at};
    }
}

void worker_session::pause(span time)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::milliseconds(time.count()),
                       [this] { return m_stopping; });
}

} // namespace kingcuprudder::node
