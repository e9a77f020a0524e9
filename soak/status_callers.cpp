#include <soak/status_callers.hpp>

#include <chrono>
#include <httplib.h>

namespace kingcuprudder::soak
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout(500);
constexpr std::chrono::milliseconds call_timeout(3500);
constexpr std::chrono::milliseconds refused_pause(20);
constexpr int caller_kinds = 3;
constexpr int status_client_error = 400;
constexpr int status_server_error = 500;
constexpr span max_caller_pause = span(400);

/// Whether nothing was sent, as there was no connection.
bool is_not_connected(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout;
}

} // namespace

status_callers::status_callers(const deployment& nodes, balancer& balance,
                               std::string job, int callers, unsigned seed)
    : m_nodes(nodes), m_balancer(balance), m_path("/q/" + std::move(job))
{
    for (int index = 0; index < callers; ++index)
    {
        m_threads.emplace_back(
            [this, seed, index]
            { run(index, seed + static_cast<unsigned>(index)); });
    }
}

status_callers::~status_callers()
{
    stop();
}

status_calls status_callers::stop()
{
    m_stopping = true;
    for (std::thread& each : m_threads)
    {
        each.join();
    }
    m_threads.clear();
    return m_calls;
}

void status_callers::run(int caller, unsigned seed)
{
    std::mt19937 random(seed);
    const int kind = caller % caller_kinds;
    const bool follows_balancer = kind == 0;
    const span max_pause = kind == 1 ? max_caller_pause : span(0);
    int node = m_balancer.select(static_cast<unsigned>(random()));
    while (!m_stopping)
    {
        const connection_end end = call_until_closed(node, max_pause, random);
        if (end == connection_end::refused)
        {
            std::this_thread::sleep_for(refused_pause);
        }
        if (end == connection_end::refused || follows_balancer)
        {
            node = m_balancer.select(static_cast<unsigned>(random()));
        }
    }
}

status_callers::connection_end
status_callers::call_until_closed(int node, span max_pause,
                                  std::mt19937& random)
{
    httplib::Client connection("http://" + m_nodes.caller_address(node));
    connection.set_connection_timeout(connect_timeout);
    connection.set_read_timeout(call_timeout);
    connection.set_keep_alive(true);
    connection.set_tcp_nodelay(true);
    const httplib::Headers headers{{"Host", "h.example"},
                                   {"Authorization", "Bearer key"}};
    int calls = 0;
    while (!m_stopping)
    {
        const auto answer = connection.Get(m_path.c_str(), headers);
        if (!answer && is_not_connected(answer.error()))
        {
            std::lock_guard lock(m_mutex);
            ++m_calls.m_refused_connections;
            return connection_end::refused;
        }
        if (!answer)
        {
            note_unanswered(node, calls, httplib::to_string(answer.error()));
            return connection_end::unanswered;
        }
        note_answer(node, answer->status);
        ++calls;
        if (answer->get_header_value("Connection") == "close")
        {
            return connection_end::closed;
        }
        if (max_pause > span(0))
        {
            std::this_thread::sleep_for(std::chrono::milliseconds(
                random() % static_cast<unsigned>(max_pause.count())));
        }
    }
    return connection_end::stopped;
}

void status_callers::note_answer(int node, int status)
{
    std::lock_guard lock(m_mutex);
    ++m_calls.m_answered;
    if (status >= status_client_error && status < status_server_error)
    {
        m_calls.m_unanswered.push_back("WRONG: a request to process " +
                                       std::to_string(node) + " got status " +
                                       std::to_string(status));
    }
}

void status_callers::note_unanswered(int node, int earlier_calls,
                                     const std::string& error)
{
    std::lock_guard lock(m_mutex);
    m_calls.m_unanswered.push_back(
        "LOST: a request to process " + std::to_string(node) +
        " got no response (" + error + "), " + std::to_string(earlier_calls) +
        " calls before on its connection, " +
        std::to_string(m_nodes.time_since_signal(node).count()) +
        " ms after SIGTERM");
}

} // namespace kingcuprudder::soak
