#include <kingcuprudder/runtime/http_connection_pool.hpp>
#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/service/worker_client.hpp>
#include <kingcuprudder/service/worker_protocol.hpp>

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <map>
#include <mutex>
#include <thread>

namespace kingcuprudder
{

namespace
{

constexpr span call_timeout = span::seconds(2);
constexpr span connect_timeout = span::seconds(1);
constexpr std::size_t healthy_threads = 12;
constexpr std::size_t suspect_threads = 4;
constexpr std::size_t max_waiting_calls = 16384;

} // namespace

class worker_client::implementation
{
public:
    implementation(instance_id owner, std::string heartbeat_url,
                   completion done)
        : m_owner(std::move(owner)), m_heartbeat_url(std::move(heartbeat_url)),
          m_done(std::move(done))
    {
        for (std::size_t i = 0; i < healthy_threads; ++i)
        {
            m_threads.emplace_back([this] { run(m_healthy); });
        }
        for (std::size_t i = 0; i < suspect_threads; ++i)
        {
            m_threads.emplace_back([this] { run(m_suspect); });
        }
    }

    ~implementation()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
            for (auto& [id, each] : m_routes)
            {
                each.m_connections->stop();
            }
        }
        m_healthy.m_changed.notify_all();
        m_suspect.m_changed.notify_all();
        for (std::thread& each : m_threads)
        {
            each.join();
        }
    }

    void set_workers(const std::vector<worker>& workers)
    {
        std::lock_guard lock(m_mutex);
        for (const worker& each : workers)
        {
            route& to = m_routes[each.m_id];
            if (to.m_address != each.m_address)
            {
                to.m_address = each.m_address;
                to.m_connections = std::make_shared<http_connection_pool>(
                    each.m_address, connect_timeout);
                to.m_is_suspect = false;
            }
        }
    }

    bool call(worker_call request)
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_routes.find(request.m_worker);
        if (found == m_routes.end() || m_waiting >= max_waiting_calls ||
            m_stopping)
        {
            return false;
        }
        ++m_waiting;
        route& to = found->second;
        to.m_calls.push_back({std::move(request), steady_milliseconds()});
        if (!to.m_is_busy)
        {
            to.m_is_busy = true;
            make_ready(found->first, to);
        }
        return true;
    }

private:
    struct waiting_call
    {
        worker_call m_request;
        std::int64_t m_since = 0;
    };

    // The calls to one worker. A worker with calls is marked busy: it is queued
    // in a lane or served by a thread.
    struct route
    {
        std::string m_address;
        std::shared_ptr<http_connection_pool> m_connections;
        std::deque<waiting_call> m_calls;
        bool m_is_busy = false;
        bool m_is_suspect = false;
    };

    struct lane
    {
        std::deque<worker_id> m_ready;
        std::condition_variable m_changed;
    };

    void make_ready(const worker_id& id, const route& to)
    {
        lane& target = to.m_is_suspect ? m_suspect : m_healthy;
        target.m_ready.push_back(id);
        target.m_changed.notify_one();
    }

    void run(lane& from)
    {
        std::unique_lock lock(m_mutex);
        for (;;)
        {
            from.m_changed.wait(
                lock, [&] { return m_stopping || !from.m_ready.empty(); });
            if (m_stopping)
            {
                return;
            }
            const worker_id id = from.m_ready.front();
            from.m_ready.pop_front();
            serve(id, lock);
        }
    }

    // Makes the oldest call to the worker, with the lock released during the
    // call.
    void serve(const worker_id& id, std::unique_lock<std::mutex>& lock)
    {
        route& to = m_routes.at(id);
        const waiting_call next = std::move(to.m_calls.front());
        to.m_calls.pop_front();
        --m_waiting;
        const std::shared_ptr<http_connection_pool> connections =
            to.m_connections;
        lock.unlock();
        worker_answer answer{next.m_request.m_call, id, worker_unreachable{}};
        // The call has waited so long that the owner has already abandoned it.
        const bool is_late =
            steady_milliseconds() - next.m_since > call_timeout.count();
        if (!is_late)
        {
            answer.m_outcome = make_call(*connections, next.m_request);
        }
        const bool no_answer =
            std::holds_alternative<worker_unreachable>(answer.m_outcome);
        m_done(std::move(answer));
        lock.lock();
        to.m_is_suspect = no_answer;
        to.m_is_busy = !to.m_calls.empty();
        if (to.m_is_busy)
        {
            make_ready(id, to);
        }
    }

    decltype(worker_answer::m_outcome)
    make_call(http_connection_pool& connections, const worker_call& request)
    {
        const worker_request message =
            to_worker_request(request, m_owner, m_heartbeat_url);
        const auto answer = connections.run(
            call_timeout,
            [&](httplib::Client& client) {
                return client.Post(message.m_path, message.m_body,
                                   "application/json");
            });
        if (!answer)
        {
            return worker_unreachable{};
        }
        return read_worker_answer(request, answer->m_status, answer->m_body);
    }

    instance_id m_owner;
    std::string m_heartbeat_url;
    completion m_done;
    std::mutex m_mutex;
    std::map<worker_id, route> m_routes;
    lane m_healthy;
    lane m_suspect;
    std::size_t m_waiting = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

worker_client::worker_client(instance_id owner, std::string heartbeat_url,
                             completion done)
    : m_implementation(std::make_unique<implementation>(
          std::move(owner), std::move(heartbeat_url), std::move(done)))
{
}

worker_client::~worker_client() = default;

void worker_client::set_workers(const std::vector<worker>& workers)
{
    m_implementation->set_workers(workers);
}

bool worker_client::call(worker_call request)
{
    return m_implementation->call(std::move(request));
}

} // namespace kingcuprudder
