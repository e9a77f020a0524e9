#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/stream/server_link.hpp>
#include <kingcuprudder/stream/stream_server.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <poll.h>
#include <thread>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t max_links = 256;
// Drops connections of clients that disappeared without closing them.
constexpr std::int64_t idle_link_ms = 300'000;
constexpr std::int64_t idle_check_ms = 10'000;
constexpr int status_ok = 200;
constexpr int status_failed = 500;

/// Passes responses from responders, which may be called later and on any
/// thread, to the thread of the server. Shared with the responders, so that it
/// can outlive the server.
struct response_queue
{
    struct answer
    {
        std::uint64_t m_link = 0;
        std::int32_t m_stream = 0;
        std::string m_body;
    };

    void put(answer item)
    {
        {
            std::lock_guard lock(m_mutex);
            m_answers.push_back(std::move(item));
        }
        m_wake.raise();
    }

    std::vector<answer> take()
    {
        std::lock_guard lock(m_mutex);
        return std::exchange(m_answers, {});
    }

    std::mutex m_mutex;
    std::vector<answer> m_answers;
    wake_signal m_wake;
};

} // namespace

class stream_server::implementation
{
public:
    implementation(const std::string& address, handler handle)
        : m_handle(std::move(handle)), m_listener(listen_on(address)),
          m_address(local_address(m_listener)),
          m_responses(std::make_shared<response_queue>()),
          m_thread([this] { run(); })
    {
    }

    ~implementation()
    {
        set(m_stopping);
        m_thread.join();
    }

    const std::string& address() const { return m_address; }

    void begin_shutdown() { set(m_shutting_down); }

private:
    void set(bool& flag)
    {
        {
            std::lock_guard lock(m_mutex);
            flag = true;
        }
        m_responses->m_wake.raise();
    }

    bool is_set(const bool& flag)
    {
        std::lock_guard lock(m_mutex);
        return flag;
    }

    void run()
    {
        while (!is_set(m_stopping))
        {
            if (is_set(m_shutting_down))
            {
                close_listener();
            }
            send_answers();
            wait(check_links());
        }
    }

    void close_listener()
    {
        if (!m_listener.is_open())
        {
            return;
        }
        m_listener.close();
        for (auto& [id, link] : m_links)
        {
            link->refuse_new_calls();
        }
    }

    void send_answers()
    {
        for (response_queue::answer& each : m_responses->take())
        {
            const auto link = m_links.find(each.m_link);
            if (link == m_links.end())
            {
                continue;
            }
            const bool fits = each.m_body.size() <= max_answer_bytes;
            link->second->answer(each.m_stream,
                                 fits ? status_ok : status_failed,
                                 fits ? std::move(each.m_body) : "");
            link->second->flush();
        }
    }

    // Pings peers with calls in progress. Returns the time of the next check.
    std::int64_t check_links()
    {
        const std::int64_t now = steady_milliseconds();
        std::int64_t next = now + idle_check_ms;
        for (auto it = m_links.begin(); it != m_links.end();)
        {
            server_link& link = *it->second;
            next = std::min(next, link.check_pings(now, !link.idle()));
            const bool unused =
                link.idle() && (!m_listener.is_open() ||
                                now - link.last_received() > idle_link_ms);
            it = link.broken() || unused ? m_links.erase(it) : std::next(it);
        }
        return next;
    }

    void wait(std::int64_t next)
    {
        std::vector<pollfd> polled;
        std::vector<std::uint64_t> ids;
        polled.push_back({m_responses->m_wake.descriptor(), POLLIN, 0});
        // A closed listener has descriptor -1, which poll() ignores.
        polled.push_back({m_listener.get(), POLLIN, 0});
        for (const auto& [id, link] : m_links)
        {
            polled.push_back({link->socket().get(), link->wanted_events(), 0});
            ids.push_back(id);
        }
        const std::int64_t pause =
            std::max<std::int64_t>(next - steady_milliseconds(), 0);
        ::poll(polled.data(), polled.size(), static_cast<int>(pause));
        m_responses->m_wake.clear();
        for (std::size_t i = 0; i < ids.size(); ++i)
        {
            if (polled[i + 2].revents != 0)
            {
                m_links[ids[i]]->handle_events(polled[i + 2].revents);
            }
        }
        if (polled[1].revents != 0)
        {
            accept_links();
        }
    }

    void accept_links()
    {
        for (;;)
        {
            socket_handle socket = accept_from(m_listener);
            if (!socket.is_open())
            {
                return;
            }
            if (m_links.size() >= max_links)
            {
                continue;
            }
            const std::uint64_t id = ++m_last_link;
            m_links[id] = std::make_unique<server_link>(
                std::move(socket),
                [this, id](std::int32_t stream, const std::string& method,
                           std::string body)
                { take_call(id, stream, method, std::move(body)); });
            m_links[id]->flush();
        }
    }

    void take_call(std::uint64_t link, std::int32_t stream,
                   const std::string& method, std::string body)
    {
        m_handle(method, std::move(body),
                 [responses = m_responses, link, stream](std::string answer) {
                     responses->put({link, stream, std::move(answer)});
                 });
    }

    handler m_handle;
    socket_handle m_listener;
    std::string m_address;
    std::shared_ptr<response_queue> m_responses;
    std::mutex m_mutex;
    bool m_stopping = false;
    bool m_shutting_down = false;
    // The members below are used only on the thread of the server.
    std::map<std::uint64_t, std::unique_ptr<server_link>> m_links;
    std::uint64_t m_last_link = 0;
    std::thread m_thread;
};

stream_server::stream_server(const std::string& address, handler handle)
    : m_implementation(
          std::make_unique<implementation>(address, std::move(handle)))
{
}

stream_server::~stream_server() = default;

const std::string& stream_server::address() const
{
    return m_implementation->address();
}

void stream_server::begin_shutdown()
{
    m_implementation->begin_shutdown();
}

} // namespace kingcuprudder
