#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>

#include <chrono>
#include <iterator>

namespace kingcuprudder
{

instant system_now()
{
    using namespace std::chrono;
    return instant(
        duration_cast<milliseconds>(system_clock::now().time_since_epoch())
            .count());
}

timer_service::timer_service() : m_thread([this] { run(); }) {}

timer_service::~timer_service()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

timer_service::subscription timer_service::every(span interval, callback call)
{
    return add(interval, interval, std::move(call));
}

timer_service::subscription timer_service::after(span delay, callback call)
{
    return add(delay, span(0), std::move(call));
}

timer_service::subscription timer_service::add(span delay, span interval,
                                               callback call)
{
    subscription id = 0;
    {
        std::lock_guard lock(m_mutex);
        id = ++m_last;
        m_due.emplace(due_key(steady_milliseconds() + delay.count(), id),
                      entry{interval, std::move(call)});
    }
    m_changed.notify_all();
    return id;
}

void timer_service::cancel(subscription id)
{
    std::unique_lock lock(m_mutex);
    for (auto it = m_due.begin(); it != m_due.end(); ++it)
    {
        if (it->first.second == id)
        {
            m_due.erase(it);
            return;
        }
    }
    if (m_running == id)
    {
        m_cancelled_while_running = id;
        if (std::this_thread::get_id() != m_thread.get_id())
        {
            m_idle.wait(lock, [&] { return m_running != id; });
        }
    }
}

void timer_service::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping)
    {
        if (m_due.empty())
        {
            m_changed.wait(lock);
            continue;
        }
        auto first = m_due.begin();
        const std::int64_t wait = first->first.first - steady_milliseconds();
        if (wait > 0)
        {
            m_changed.wait_for(lock, std::chrono::milliseconds(wait));
            continue;
        }
        const subscription id = first->first.second;
        entry current = std::move(first->second);
        m_due.erase(first);
        m_running = id;
        lock.unlock();
        current.m_call();
        lock.lock();
        m_running = 0;
        const bool cancelled = m_cancelled_while_running == id;
        m_cancelled_while_running = 0;
        if (!cancelled && current.m_interval > span(0))
        {
            const std::int64_t next =
                steady_milliseconds() + current.m_interval.count();
            m_due.emplace(due_key(next, id), std::move(current));
        }
        m_idle.notify_all();
    }
}

} // namespace kingcuprudder
