#include <kingcuprudder/node/clocks.hpp>

#include <soak/balanced_connection.hpp>

#include <algorithm>
#include <chrono>
#include <httplib.h>

namespace kingcuprudder::soak
{

namespace
{

constexpr std::chrono::milliseconds connect_timeout(500);
constexpr std::chrono::milliseconds call_timeout(3500);
// How long a process has for an answer.
constexpr const char* deadline_ms = "3000";
// Selects another process for the next connection.
constexpr unsigned next_choice = 7919;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

} // namespace

void call_record::note_answer(int status, span duration)
{
    std::lock_guard lock(m_mutex);
    ++m_counts.m_answered;
    m_counts.m_rejected +=
        status == status_too_many || status == status_unavailable ? 1 : 0;
    m_counts.m_longest_call = std::max(m_counts.m_longest_call, duration);
}

void call_record::note_refused_connection()
{
    std::lock_guard lock(m_mutex);
    ++m_counts.m_refused_connections;
}

void call_record::note_unanswered(bool calm, const std::string& message)
{
    std::lock_guard lock(m_mutex);
    if (calm)
    {
        m_counts.m_unanswered.push_back(message);
    }
    else
    {
        ++m_counts.m_unanswered_near_disruptions;
    }
}

call_counts call_record::counts() const
{
    std::lock_guard lock(m_mutex);
    return m_counts;
}

balanced_connection::balanced_connection(const deployment& nodes,
                                         balancer& balance,
                                         const disruption_record& disruptions,
                                         call_record& record, unsigned choice)
    : m_nodes(nodes), m_balancer(balance), m_disruptions(disruptions),
      m_record(record), m_choice(choice)
{
}

balanced_connection::~balanced_connection() = default;

call_end balanced_connection::call(call_method method, const std::string& path,
                                   const std::string& body)
{
    connect();
    const httplib::Headers headers{{"Host", "h.example"},
                                   {"Authorization", "Bearer key"},
                                   {"X-Deadline-Ms", deadline_ms}};
    call_end ended;
    ended.m_process = m_node;
    ended.m_sent_at = node::boottime_now();
    const httplib::Result answer =
        method == call_method::submit
            ? m_client->Post(path.c_str(), headers, body, "application/json")
        : method == call_method::read ? m_client->Get(path.c_str(), headers)
                                      : m_client->Delete(path.c_str(), headers);
    ended.m_ended_at = node::boottime_now();
    ended.m_in_touch =
        m_disruptions.is_calm_since(ended.m_sent_at) &&
        m_nodes.undisturbed_since(m_node) + m_disruptions.contact_time() <
            ended.m_sent_at;
    if (answer)
    {
        ended.m_outcome = call_end::outcome::answered;
        ended.m_status = answer->status;
        ended.m_body = answer->body;
        ++m_calls;
        m_record.note_answer(answer->status,
                             ended.m_ended_at - ended.m_sent_at);
        if (answer->get_header_value("Connection") == "close")
        {
            disconnect();
        }
        return ended;
    }
    if (answer.error() == httplib::Error::Connection ||
        answer.error() == httplib::Error::ConnectionTimeout)
    {
        m_record.note_refused_connection();
    }
    else
    {
        ended.m_outcome = call_end::outcome::no_response;
        note_no_response(ended, httplib::to_string(answer.error()));
    }
    m_choice += next_choice;
    disconnect();
    return ended;
}

void balanced_connection::connect()
{
    if (m_client)
    {
        return;
    }
    m_node = m_balancer.select(m_choice);
    m_calls = 0;
    m_client = std::make_unique<httplib::Client>(
        "http://" + m_nodes.caller_address(m_node));
    m_client->set_connection_timeout(connect_timeout);
    m_client->set_read_timeout(call_timeout);
    m_client->set_keep_alive(true);
    m_client->set_tcp_nodelay(true);
}

void balanced_connection::disconnect()
{
    m_client.reset();
}

void balanced_connection::note_no_response(const call_end& call,
                                           const std::string& error)
{
    m_record.note_unanswered(
        m_disruptions.is_calm_since(call.m_sent_at),
        "LOST: a request to process " + std::to_string(call.m_process) +
            " got no response (" + error + ") after " +
            std::to_string((call.m_ended_at - call.m_sent_at).count()) +
            " ms, " + std::to_string(m_calls) +
            " calls before on its connection, " +
            std::to_string(m_nodes.time_since_signal(call.m_process).count()) +
            " ms after SIGTERM");
}

} // namespace kingcuprudder::soak
