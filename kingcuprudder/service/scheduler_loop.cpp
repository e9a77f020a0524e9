#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/scheduler_loop.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t max_waiting_events = 8192;
constexpr std::int64_t tick_interval_ms = 20;

} // namespace

scheduler_loop::scheduler_loop(std::unique_ptr<region_owner> owner)
    : m_owner(std::move(owner)), m_events(max_waiting_events)
{
}

scheduler_loop::~scheduler_loop()
{
    stop();
}

void scheduler_loop::start(store_function call_store,
                           worker_function call_worker)
{
    m_call_store = std::move(call_store);
    m_call_worker = std::move(call_worker);
    m_thread = std::thread([this] { run(); });
}

void scheduler_loop::stop()
{
    m_events.close();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

void scheduler_loop::push(scheduler_event event)
{
    m_events.push(std::move(event));
}

bool scheduler_loop::try_push(scheduler_event event)
{
    return m_events.try_push(std::move(event));
}

void scheduler_loop::run()
{
    std::int64_t next_tick = steady_milliseconds();
    while (!m_events.closed())
    {
        const std::int64_t left = next_tick - steady_milliseconds();
        if (left > 0)
        {
            auto event = m_events.pop(std::chrono::milliseconds(left));
            if (event)
            {
                process(std::move(*event));
            }
            continue;
        }
        next_tick = steady_milliseconds() + tick_interval_ms;
        carry_out(m_owner->on_tick(system_now()));
        process_local_events();
    }
}

void scheduler_loop::process(scheduler_event event)
{
    std::visit([this](auto& each) { handle(each); }, event);
    process_local_events();
}

void scheduler_loop::process_local_events()
{
    while (!m_local_events.empty())
    {
        scheduler_event own = std::move(m_local_events.front());
        m_local_events.pop_front();
        std::visit([this](auto& each) { handle(each); }, own);
    }
    publish();
}

void scheduler_loop::publish()
{
    const bool owning = m_owner->owning();
    if (owning != m_owning)
    {
        m_takeovers += owning ? 1 : 0;
        m_log.info(owning ? "became the owner of the region"
                          : "is no longer the owner of the region",
                   {"", "", owning ? m_owner->epoch() : m_epoch.load()});
    }
    m_owning = owning;
    m_epoch = m_owner->epoch();
    m_shut_down = m_owner->shut_down();
}

void scheduler_loop::handle(settings_event& event)
{
    carry_out(m_owner->on_settings(*event.m_settings, system_now()));
}

void scheduler_loop::handle(owner_key_event& event)
{
    carry_out(
        m_owner->on_owner_key(event.m_owner, event.m_revision, system_now()));
}

void scheduler_loop::handle(workers_event& event)
{
    carry_out(m_owner->on_workers(event.m_workers, system_now()));
}

void scheduler_loop::handle(store_answer& answer)
{
    carry_out(m_owner->on_store_answer(answer, system_now()));
}

void scheduler_loop::handle(worker_answer& answer)
{
    carry_out(m_owner->on_worker_answer(answer, system_now()));
}

void scheduler_loop::handle(heartbeat_event& event)
{
    const instant now = system_now();
    const bool is_current =
        m_owner->owning() && event.m_report.m_epoch == m_owner->epoch();
    const bool renews = is_current && m_owner->renews_task_leases(now);
    carry_out(m_owner->on_heartbeat(event.m_report, now));
    event.m_respond({is_current, renews, m_owner->epoch()});
}

void scheduler_loop::handle(call_event& event)
{
    const call_number number = ++m_last_call;
    m_calls[number] = {event.m_call.m_call, std::move(event.m_respond)};
    event.m_call.m_call = number;
    carry_out(m_owner->on_caller_call(event.m_call, system_now()));
}

void scheduler_loop::handle(dump_event& event)
{
    event.m_respond(m_owner->dump());
}

void scheduler_loop::handle(statistics_event& event)
{
    event.m_respond({m_owner->statistics(), m_takeovers});
}

void scheduler_loop::handle(shutdown_event&)
{
    carry_out(m_owner->begin_shutdown(system_now()));
}

void scheduler_loop::carry_out(region_owner::effects effects)
{
    for (owner_effect& effect : effects)
    {
        std::visit([this](auto& each) { carry_out(each); }, effect);
    }
}

void scheduler_loop::carry_out(store_call& call)
{
    const call_number number = call.m_call;
    if (!m_call_store(std::move(call)))
    {
        m_local_events.emplace_back(store_answer{number, store_failed{}});
    }
}

void scheduler_loop::carry_out(worker_call& call)
{
    worker_answer refusal{call.m_call, call.m_worker, worker_unreachable{}};
    if (!m_call_worker(std::move(call)))
    {
        m_local_events.emplace_back(std::move(refusal));
    }
}

void scheduler_loop::carry_out(caller_answer& answer)
{
    const auto found = m_calls.find(answer.m_call);
    if (found == m_calls.end())
    {
        return;
    }
    const open_call call = std::move(found->second);
    m_calls.erase(found);
    answer.m_call = call.m_number;
    call.m_respond(answer);
}

void scheduler_loop::carry_out(stepped_down&) {}

} // namespace kingcuprudder
