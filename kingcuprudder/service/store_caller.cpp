#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/service/store_caller.hpp>

#include <chrono>
#include <utility>

namespace kingcuprudder
{

namespace
{

// Four threads suffice, because the owner has few calls in flight: an append, a
// renewal, and the reads and writes of a takeover or a snapshot.
constexpr std::size_t thread_count = 4;
constexpr std::size_t max_waiting_calls = 1024;
constexpr std::chrono::hours max_pop_wait(1);

} // namespace

store_caller::store_caller(key_value_store& store, completion done)
    : m_store(store), m_done(std::move(done)), m_waiting(max_waiting_calls)
{
    for (std::size_t i = 0; i < thread_count; ++i)
    {
        m_threads.emplace_back([this] { run(); });
    }
}

store_caller::~store_caller()
{
    m_waiting.close();
    for (std::thread& each : m_threads)
    {
        each.join();
    }
}

bool store_caller::call(store_call request)
{
    return m_waiting.try_push(std::move(request));
}

void store_caller::run()
{
    while (!m_waiting.closed())
    {
        const std::optional<store_call> next = m_waiting.pop(max_pop_wait);
        if (next)
        {
            const std::int64_t begin = steady_milliseconds();
            store_answer answer = m_store.call(*next);
            m_done(std::move(answer), span(steady_milliseconds() - begin));
        }
    }
}

} // namespace kingcuprudder
