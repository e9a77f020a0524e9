#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/entry_requests.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// Maximum number of outcomes that wait for an owner. Further outcomes are not
/// reported; the owner ends their permits as "may have run" at the deadline.
constexpr std::size_t max_open_reports = 4096;
/// An open outcome has at most two events in the ring: its own and a reply.
constexpr std::size_t event_capacity = 2 * max_open_reports;
constexpr span max_report_wait = span::seconds(1);

} // namespace

entry_requests::entry_requests(request_router& router, std::mutex& router_mutex,
                               entry_minion_calls& minions,
                               entry_owner_calls& owner,
                               std::string holder_prefix)
    : m_router(router), m_router_mutex(router_mutex), m_minions(minions),
      m_owner(owner), m_holder_prefix(std::move(holder_prefix)),
      m_events(std::make_shared<bounded_ring<event>>(event_capacity)),
      m_thread([this] { report_loop(); })
{
}

entry_requests::~entry_requests()
{
    m_events->close();
    m_thread.join();
}

result<request_answer> entry_requests::run(const service_request& request)
{
    std::unique_ptr<request_session> session;
    {
        std::lock_guard lock(m_router_mutex);
        const result<ok> admitted =
            m_router.admit(request.m_key.m_account, request.m_service);
        if (!succeeded(admitted))
        {
            return error_of(admitted);
        }
        session = std::make_unique<request_session>(
            request, m_holder_prefix + std::to_string(++m_last_holder),
            m_router);
    }
    return drive(std::move(session));
}

result<request_answer>
entry_requests::drive(std::unique_ptr<request_session> session)
{
    std::deque<session_effect> open;
    auto add = [&](request_session::effects&& effects)
    { std::move(effects.begin(), effects.end(), std::back_inserter(open)); };
    {
        std::lock_guard lock(m_router_mutex);
        add(session->start(system_now()));
    }
    std::optional<result<request_answer>> answer;
    while (!open.empty())
    {
        const session_effect next = std::move(open.front());
        open.pop_front();
        if (const auto* reply = std::get_if<answer_caller>(&next))
        {
            answer = reply->m_answer;
        }
        else if (const auto* report = std::get_if<report_outcome>(&next))
        {
            // The caller gets its answer now; the outcome is reported
            // asynchronously.
            queue_report(std::move(session), *report);
            break;
        }
        else
        {
            add(carry_out(*session, next));
        }
    }
    KCR_ASSERT(answer.has_value());
    return *answer;
}

request_session::effects entry_requests::carry_out(request_session& session,
                                                   const session_effect& effect)
{
    if (const auto* ask = std::get_if<ask_permit>(&effect))
    {
        const result<caller_reply> reply =
            m_owner.call_once(ask->m_permit, ask->m_timeout);
        std::lock_guard lock(m_router_mutex);
        return session.on_permit(ask->m_call, reply, system_now());
    }
    if (const auto* call = std::get_if<call_target>(&effect))
    {
        const target_answer answer =
            m_minions.call(call->m_target, session.request(), call->m_timeout);
        std::lock_guard lock(m_router_mutex);
        return session.on_target_answer(call->m_call, answer, system_now());
    }
    const auto* wait = std::get_if<wait_until>(&effect);
    KCR_ASSERT(wait != nullptr);
    const span left = wait->m_at - system_now();
    if (left > span(0))
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(left.count()));
    }
    std::lock_guard lock(m_router_mutex);
    return session.on_timer(system_now());
}

void entry_requests::queue_report(std::unique_ptr<request_session> session,
                                  const report_outcome& report)
{
    {
        std::lock_guard lock(m_open_mutex);
        if (m_open >= max_open_reports)
        {
            return;
        }
        ++m_open;
    }
    event handed;
    handed.m_new = std::move(session);
    handed.m_first_report = std::make_unique<report_outcome>(report);
    m_events->push(std::move(handed));
}

void entry_requests::report_loop()
{
    while (true)
    {
        std::optional<event> next =
            m_events->pop(std::chrono::milliseconds(time_to_next().count()));
        if (next)
        {
            handle(*next);
        }
        else if (m_events->closed())
        {
            return;
        }
        run_due_timers(system_now());
    }
}

void entry_requests::handle(event& each)
{
    if (each.m_new)
    {
        const std::uint64_t id = ++m_last_session;
        reporting& entry = m_reporting[id];
        entry.m_session = std::move(each.m_new);
        apply(id, entry, {*each.m_first_report});
        return;
    }
    auto found = m_reporting.find(each.m_session);
    if (found == m_reporting.end())
    {
        return;
    }
    apply(found->first, found->second,
          found->second.m_session->on_report(each.m_call, *each.m_reply,
                                             system_now()));
}

void entry_requests::run_due_timers(instant now)
{
    for (auto it = m_reporting.begin(); it != m_reporting.end();)
    {
        auto current = it++;
        if (current->second.m_due != instant() && current->second.m_due <= now)
        {
            apply(current->first, current->second,
                  current->second.m_session->on_timer(now));
        }
    }
}

void entry_requests::apply(std::uint64_t id, reporting& entry,
                           const request_session::effects& effects)
{
    for (const session_effect& each : effects)
    {
        if (const auto* wait = std::get_if<wait_until>(&each))
        {
            entry.m_due = wait->m_at;
            continue;
        }
        const auto* report = std::get_if<report_outcome>(&each);
        KCR_ASSERT(report != nullptr);
        entry.m_due = instant();
        // The completion shares ownership of the ring, because a reply can
        // arrive after this object is destroyed.
        m_owner.call_once(report->m_outcome, report->m_timeout,
                          [events = m_events, id, call = report->m_call](
                              const result<caller_reply>& reply)
                          {
                              event answered;
                              answered.m_session = id;
                              answered.m_call = call;
                              answered.m_reply =
                                  std::make_unique<result<caller_reply>>(reply);
                              events->try_push(std::move(answered));
                          });
    }
    if (entry.m_session->finished())
    {
        remove_finished(id);
    }
}

void entry_requests::remove_finished(std::uint64_t id)
{
    m_reporting.erase(id);
    std::lock_guard lock(m_open_mutex);
    KCR_ASSERT(m_open > 0);
    --m_open;
    m_none_open.notify_all();
}

span entry_requests::time_to_next() const
{
    const instant now = system_now();
    span shortest = max_report_wait;
    for (const auto& [id, entry] : m_reporting)
    {
        if (entry.m_due != instant())
        {
            shortest = std::min(shortest, entry.m_due - now);
        }
    }
    return std::max(shortest, span(0));
}

void entry_requests::finish_reports()
{
    std::unique_lock lock(m_open_mutex);
    m_none_open.wait(lock, [this] { return m_open == 0; });
}

std::size_t entry_requests::open_reports() const
{
    std::lock_guard lock(m_open_mutex);
    return m_open;
}

} // namespace kingcuprudder
