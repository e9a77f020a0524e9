#include <kingcuprudder/runtime/http_connection_pool.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <httplib.h>
#include <mutex>
#include <set>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t max_idle_connections = 8;

} // namespace

class http_connection_pool::implementation
{
public:
    implementation(const std::string& address, span connect_timeout)
        : m_address(parse_ip_address(address)),
          m_connect_timeout(connect_timeout)
    {
    }

    http_outcome run_with_outcome(span timeout, const http_call& call)
    {
        std::unique_ptr<httplib::Client> client = acquire();
        if (!client)
        {
            return http_failure{http_delivery::not_sent,
                                http_failure_cause::cancelled};
        }
        const std::chrono::milliseconds limit(timeout.count());
        client->set_read_timeout(limit);
        client->set_write_timeout(limit);
        const httplib::Result result = call(*client);
        release(std::move(client), static_cast<bool>(result));
        if (result)
        {
            return http_answer{result->status, result->body};
        }
        const bool not_sent =
            result.error() == httplib::Error::Connection ||
            result.error() == httplib::Error::ConnectionTimeout;
        return http_failure{not_sent ? http_delivery::not_sent
                                     : http_delivery::unanswered};
    }

    void stop()
    {
        std::lock_guard lock(m_mutex);
        m_stopped = true;
        for (httplib::Client* each : m_busy)
        {
            each->stop();
        }
    }

private:
    std::unique_ptr<httplib::Client> acquire()
    {
        std::lock_guard lock(m_mutex);
        if (m_stopped)
        {
            return nullptr;
        }
        std::unique_ptr<httplib::Client> client;
        if (m_idle.empty())
        {
            client = std::make_unique<httplib::Client>(m_address.m_host,
                                                       m_address.m_port);
            client->set_connection_timeout(
                std::chrono::milliseconds(m_connect_timeout.count()));
            client->set_tcp_nodelay(true);
            client->set_keep_alive(true);
        }
        else
        {
            client = std::move(m_idle.back());
            m_idle.pop_back();
        }
        m_busy.insert(client.get());
        return client;
    }

    void release(std::unique_ptr<httplib::Client> client, bool usable)
    {
        std::lock_guard lock(m_mutex);
        m_busy.erase(client.get());
        if (!usable)
        {
            m_idle.clear();
        }
        else if (m_idle.size() < max_idle_connections)
        {
            m_idle.push_back(std::move(client));
        }
    }

    ip_address m_address;
    span m_connect_timeout;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
    std::set<httplib::Client*> m_busy;
    bool m_stopped = false;
};

http_connection_pool::http_connection_pool(const std::string& address,
                                           span connect_timeout)
    : m_implementation(
          std::make_unique<implementation>(address, connect_timeout))
{
}

http_connection_pool::~http_connection_pool() = default;

std::optional<http_answer> http_connection_pool::run(span timeout,
                                                     const http_call& call)
{
    const http_outcome outcome =
        m_implementation->run_with_outcome(timeout, call);
    if (const auto* answer = std::get_if<http_answer>(&outcome))
    {
        return *answer;
    }
    return std::nullopt;
}

http_outcome http_connection_pool::run_with_outcome(span timeout,
                                                    const http_call& call)
{
    return m_implementation->run_with_outcome(timeout, call);
}

void http_connection_pool::stop()
{
    m_implementation->stop();
}

} // namespace kingcuprudder
