#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/stream/client_link.hpp>
#include <kingcuprudder/stream/stream_client.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <poll.h>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr std::int64_t connect_timeout_ms = 2000;
constexpr std::size_t max_submitted_calls = 4096;

using call_pointer = std::unique_ptr<outgoing_call>;
using link_pointer = std::unique_ptr<client_link>;

int poll_timeout(std::int64_t next, std::int64_t now)
{
    constexpr std::int64_t max_wait_ms = 60'000;
    return static_cast<int>(
        std::clamp<std::int64_t>(next - now, 0, max_wait_ms));
}

} // namespace

class stream_client::implementation
{
public:
    implementation() : m_thread([this] { run(); }) {}

    ~implementation()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wake.raise();
        m_thread.join();
    }

    void submit(call_pointer call)
    {
        const char* refusal = nullptr;
        error_code code = error_code::limit_reached;
        {
            std::lock_guard lock(m_mutex);
            if (call->m_body.size() > max_call_bytes)
            {
                refusal = "the call is larger than 1 MB";
                code = error_code::too_large;
            }
            else if (m_submitted.size() >= max_submitted_calls)
            {
                refusal = "too many calls are waiting to be sent";
            }
            if (refusal == nullptr)
            {
                m_submitted.push_back(std::move(call));
            }
            else
            {
                error problem = call_error(*call, code, refusal);
                m_refusals.push_back({std::move(call), std::move(problem)});
            }
        }
        m_wake.raise();
    }

private:
    void run()
    {
        while (!stopping())
        {
            start_submitted();
            const std::int64_t next = check_deadlines();
            deliver_finished();
            wait(next);
        }
        start_submitted();
        for (link_pointer& each : m_links)
        {
            each->fail_all("the client is closed");
        }
        deliver_finished();
    }

    bool stopping()
    {
        std::lock_guard lock(m_mutex);
        return m_stopping;
    }

    void start_submitted()
    {
        std::vector<call_pointer> calls;
        {
            std::lock_guard lock(m_mutex);
            calls.swap(m_submitted);
            std::move(m_refusals.begin(), m_refusals.end(),
                      std::back_inserter(m_finished));
            m_refusals.clear();
        }
        for (call_pointer& each : calls)
        {
            start(std::move(each));
        }
    }

    void start(call_pointer call)
    {
        client_link* link = nullptr;
        try
        {
            link = &link_to(call->m_address);
        }
        catch (const std::runtime_error& problem)
        {
            error failure =
                call_error(*call, error_code::connection_lost, problem.what());
            m_finished.push_back({std::move(call), std::move(failure)});
            return;
        }
        link->start(std::move(call));
    }

    // Returns the connection for new calls to an address and opens it if
    // needed.
    client_link& link_to(const std::string& address)
    {
        const auto known = m_current.find(address);
        if (known != m_current.end() && known->second->usable())
        {
            return *known->second;
        }
        m_links.push_back(std::make_unique<client_link>(
            address, steady_milliseconds() + connect_timeout_ms));
        client_link& link = *m_links.back();
        m_current[address] = &link;
        return link;
    }

    std::int64_t check_deadlines()
    {
        const std::int64_t now = steady_milliseconds();
        std::int64_t next = INT64_MAX;
        for (link_pointer& each : m_links)
        {
            next = std::min(next, each->check_deadlines(now));
        }
        remove_ended_links();
        return next;
    }

    void remove_ended_links()
    {
        for (auto it = m_links.begin(); it != m_links.end();)
        {
            client_link& link = **it;
            if (link.failed())
            {
                link.fail_all("the connection was lost");
            }
            collect(link);
            if (link.failed() || (link.draining() && link.idle()))
            {
                std::erase_if(m_current, [&link](const auto& each)
                              { return each.second == &link; });
                it = m_links.erase(it);
            }
            else
            {
                ++it;
            }
        }
    }

    void collect(client_link& link)
    {
        for (finished_call& each : link.take_finished())
        {
            m_finished.push_back(std::move(each));
        }
    }

    void deliver_finished()
    {
        for (link_pointer& each : m_links)
        {
            collect(*each);
        }
        for (finished_call& each : std::exchange(m_finished, {}))
        {
            each.m_call->m_done(std::move(each.m_outcome));
        }
    }

    void wait(std::int64_t next)
    {
        m_polled.clear();
        m_polled.push_back({m_wake.descriptor(), POLLIN, 0});
        for (const link_pointer& each : m_links)
        {
            m_polled.push_back({each->socket().get(), each->poll_events(), 0});
        }
        ::poll(m_polled.data(), m_polled.size(),
               poll_timeout(next, steady_milliseconds()));
        m_wake.clear();
        for (std::size_t i = 0; i < m_links.size(); ++i)
        {
            if (m_polled[i + 1].revents != 0)
            {
                m_links[i]->handle_poll(m_polled[i + 1].revents);
            }
        }
    }

    std::mutex m_mutex;
    std::vector<call_pointer> m_submitted;
    std::vector<finished_call> m_refusals;
    bool m_stopping = false;
    wake_signal m_wake;
    // The members below are used only on the thread of the client.
    std::vector<link_pointer> m_links;
    std::map<std::string, client_link*> m_current;
    std::vector<finished_call> m_finished;
    std::vector<pollfd> m_polled;
    std::thread m_thread;
};

stream_client::stream_client()
    : m_implementation(std::make_unique<implementation>())
{
}

stream_client::~stream_client() = default;

void stream_client::call(const std::string& address, const std::string& method,
                         std::string body, span timeout, completion done)
{
    auto call = std::make_unique<outgoing_call>();
    call->m_address = address;
    call->m_method = method;
    call->m_body = std::move(body);
    call->m_deadline = steady_milliseconds() + timeout.count();
    call->m_done = std::move(done);
    m_implementation->submit(std::move(call));
}

} // namespace kingcuprudder
