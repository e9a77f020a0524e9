#include <kingcuprudder/service/entry_task_queue.hpp>

#include <utility>

namespace kingcuprudder
{

namespace
{

/// A bound suffices because a refusal takes well under a millisecond unless the
/// client is slow.
constexpr std::size_t max_waiting_refusals = 128;

thread_local connection_mode mode_of_thread = connection_mode::serve;

} // namespace

entry_task_queue::entry_task_queue(std::size_t threads, std::size_t max_queued)
    : m_max_queued(max_queued)
{
    for (std::size_t i = 0; i < threads; ++i)
    {
        m_threads.emplace_back([this]
                               { run(m_served, connection_mode::serve); });
    }
    m_threads.emplace_back([this] { run(m_refused, connection_mode::refuse); });
}

connection_mode entry_task_queue::current_mode()
{
    return mode_of_thread;
}

void entry_task_queue::enqueue(std::function<void()> task)
{
    {
        std::lock_guard lock(m_mutex);
        const bool room =
            m_served.m_tasks.size() < m_max_queued + m_idle_threads;
        lane& target = room ? m_served : m_refused;
        if (room || m_refused.m_tasks.size() < max_waiting_refusals)
        {
            target.m_tasks.push_back(std::move(task));
            target.m_changed.notify_one();
            return;
        }
    }
    const connection_mode former =
        std::exchange(mode_of_thread, connection_mode::drop);
    task();
    mode_of_thread = former;
}

void entry_task_queue::shutdown()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_served.m_changed.notify_all();
    m_refused.m_changed.notify_all();
    for (std::thread& each : m_threads)
    {
        each.join();
    }
    m_threads.clear();
}

void entry_task_queue::run(lane& source, connection_mode mode)
{
    mode_of_thread = mode;
    const std::size_t counted = mode == connection_mode::serve ? 1 : 0;
    std::unique_lock lock(m_mutex);
    while (true)
    {
        m_idle_threads += counted;
        source.m_changed.wait(
            lock, [&] { return m_stopping || !source.m_tasks.empty(); });
        m_idle_threads -= counted;
        if (source.m_tasks.empty())
        {
            return;
        }
        const std::function<void()> task = std::move(source.m_tasks.front());
        source.m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

} // namespace kingcuprudder
