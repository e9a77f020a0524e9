#ifndef SOAK_BALANCED_CONNECTION_HPP
#define SOAK_BALANCED_CONNECTION_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/balancer.hpp>
#include <soak/deployment.hpp>
#include <soak/disruption_record.hpp>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace httplib
{
class Client;
}

namespace kingcuprudder::soak
{

/// What all callers saw of their requests.
struct call_counts
{
    int m_answered = 0;
    /// Requests that were answered with 429 or 503.
    int m_rejected = 0;
    /// Connections that were refused; nothing was sent on them.
    int m_refused_connections = 0;
    /// Requests without a response near an unplanned disruption.
    int m_unanswered_near_disruptions = 0;
    span m_longest_call;
    /// A message for each other request that was sent and got no response.
    std::vector<std::string> m_unanswered;
};

/// Counts the calls of all callers. Thread-safe.
class call_record
{
public:
    void note_answer(int status, span duration);
    void note_refused_connection();
    void note_unanswered(bool calm, const std::string& message);
    call_counts counts() const;

private:
    mutable std::mutex m_mutex;
    call_counts m_counts;
};

/// What a call does with a job. A read of a queue tells how many of its jobs
/// are pending.
enum class call_method
{
    submit,
    read,
    cancel,
};

/// How a call ended.
struct call_end
{
    enum class outcome
    {
        answered,
        no_response,   ///< Sent, without a complete answer.
        not_connected, ///< Nothing was sent.
    };

    outcome m_outcome = outcome::not_connected;
    int m_process = 0;
    int m_status = 0;
    std::string m_body;
    instant m_sent_at;
    instant m_ended_at;
    /// Whether the process, the store and the links were free of disruption for
    /// the contact time before it, as the platform defines it.
    bool m_in_touch = false;
};

/// The connection of one caller. It is kept until the process says that it
/// closes it or a call fails; the balancer then selects a process anew.
class balanced_connection
{
public:
    /// All but the number must outlive this.
    balanced_connection(const deployment& nodes, balancer& balance,
                        const disruption_record& disruptions,
                        call_record& record, unsigned choice);
    ~balanced_connection();
    balanced_connection(const balanced_connection&) = delete;
    balanced_connection& operator=(const balanced_connection&) = delete;

    /// Sends a request and waits for its response.
    call_end call(call_method method, const std::string& path,
                  const std::string& body = "");

private:
    void connect();
    void disconnect();
    void note_no_response(const call_end& call, const std::string& error);

    const deployment& m_nodes;
    balancer& m_balancer;
    const disruption_record& m_disruptions;
    call_record& m_record;
    unsigned m_choice;
    int m_node = 0;
    int m_calls = 0;
    std::unique_ptr<httplib::Client> m_client;
};

} // namespace kingcuprudder::soak

#endif
