#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/entry_minion_calls.hpp>

#include <algorithm>
#include <chrono>
#include <httplib.h>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

constexpr span connect_timeout = span::seconds(1);
/// Connections that have been idle for longer are not reused: the minion may be
/// about to close them, and a call that fails for this reason cannot be
/// distinguished from a lost response.
constexpr span max_reused_idle = span::seconds(1);
/// The number of addresses with idle connections above which expired
/// connections of all addresses are closed.
constexpr std::size_t max_idle_addresses = 256;

struct idle_connection
{
    std::unique_ptr<httplib::Client> m_client;
    instant m_since;
};

bool is_timeout(httplib::Error problem, span waited, span timeout)
{
    return problem == httplib::Error::ConnectionTimeout ||
           (problem == httplib::Error::Read && waited >= timeout);
}

target_answer classify_failure(httplib::Error problem, span waited,
                               span timeout)
{
    target_answer answer;
    const bool connected = problem != httplib::Error::Connection &&
                           problem != httplib::Error::ConnectionTimeout;
    answer.m_outcome =
        connected ? target_outcome::unknown : target_outcome::not_sent;
    if (is_timeout(problem, waited, timeout))
    {
        answer.m_timed_out_after = waited;
    }
    return answer;
}

target_answer classify_response(const httplib::Response& response)
{
    target_answer answer;
    answer.m_body = response.body;
    answer.m_draining = response.get_header_value("x-leaving") == "true";
    if (response.status == 200)
    {
        answer.m_outcome = target_outcome::answered;
    }
    else if (response.status == 503 &&
             response.get_header_value("x-not-run") == "true")
    {
        answer.m_outcome = target_outcome::refused;
    }
    else if (response.status >= 400 && response.status < 500)
    {
        answer.m_outcome = target_outcome::rejected;
    }
    else
    {
        answer.m_outcome = target_outcome::failed;
    }
    return answer;
}

std::unique_ptr<httplib::Client> connect(const std::string& address)
{
    auto client = std::make_unique<httplib::Client>("http://" + address);
    client->set_tcp_nodelay(true);
    client->set_keep_alive(true);
    return client;
}

} // namespace

class entry_minion_calls::implementation
{
public:
    using sender = std::function<httplib::Result(httplib::Client&)>;

    target_answer call(const std::string& address, bool reuse, span timeout,
                       const sender& send)
    {
        std::unique_ptr<httplib::Client> client =
            reuse ? acquire(address) : connect(address);
        const std::chrono::milliseconds limit(timeout.count());
        const std::chrono::milliseconds connect_limit(
            std::min(timeout, connect_timeout).count());
        client->set_connection_timeout(connect_limit);
        client->set_read_timeout(limit);
        client->set_write_timeout(limit);
        const instant before = system_now();
        const httplib::Result sent = send(*client);
        if (!sent)
        {
            return classify_failure(sent.error(), system_now() - before,
                                    timeout);
        }
        target_answer answer = classify_response(*sent);
        if (reuse)
        {
            release(address, std::move(client));
        }
        return answer;
    }

private:
    std::unique_ptr<httplib::Client> acquire(const std::string& address)
    {
        std::unique_ptr<httplib::Client> client;
        {
            std::lock_guard lock(m_mutex);
            auto found = m_idle.find(address);
            if (found != m_idle.end())
            {
                drop_expired(found->second);
                if (!found->second.empty())
                {
                    client = std::move(found->second.back().m_client);
                    found->second.pop_back();
                }
            }
        }
        return client ? std::move(client) : connect(address);
    }

    void release(const std::string& address,
                 std::unique_ptr<httplib::Client> client)
    {
        std::lock_guard lock(m_mutex);
        if (m_idle.size() >= max_idle_addresses)
        {
            for (auto& [known, connections] : m_idle)
            {
                drop_expired(connections);
            }
            std::erase_if(m_idle,
                          [](const auto& each) { return each.second.empty(); });
        }
        std::vector<idle_connection>& connections = m_idle[address];
        drop_expired(connections);
        connections.push_back({std::move(client), system_now()});
    }

    static void drop_expired(std::vector<idle_connection>& connections)
    {
        const instant oldest = system_now() - max_reused_idle;
        std::erase_if(connections, [oldest](const idle_connection& each)
                      { return each.m_since < oldest; });
    }

    std::mutex m_mutex;
    std::map<std::string, std::vector<idle_connection>> m_idle;
};

entry_minion_calls::entry_minion_calls()
    : m_implementation(std::make_unique<implementation>())
{
}

entry_minion_calls::~entry_minion_calls() = default;

target_answer entry_minion_calls::call(const target_ref& target,
                                       const service_request& request,
                                       span timeout)
{
    const httplib::Headers headers{
        {"x-request-id",
         request.m_key.m_account.str() + "/" + request.m_key.m_request.str()},
        {"x-deadline-ms", std::to_string(request.m_deadline.count())},
    };
    // A pooled connection can break when the target restarts. The caller cannot
    // distinguish this from a request that has run, so a request that must not
    // run twice gets a new connection.
    return m_implementation->call(
        target.m_address, request.m_idempotent, timeout,
        [&](httplib::Client& client)
        {
            return client.Post("/v1/run", headers, request.m_body,
                               "application/octet-stream");
        });
}

target_answer entry_minion_calls::probe(const target_ref& target, span timeout)
{
    return m_implementation->call(target.m_address, false, timeout,
                                  [](httplib::Client& client)
                                  { return client.Get("/v1/health"); });
}

} // namespace kingcuprudder
