#ifndef KINGCUPRUDDER_NODE_NODE_METRICS_HPP
#define KINGCUPRUDDER_NODE_NODE_METRICS_HPP

#include <kingcuprudder/node/leader_metrics.hpp>
#include <kingcuprudder/runtime/connection_refusal.hpp>
#include <kingcuprudder/runtime/metrics.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace kingcuprudder::node
{

/// Counters and a latency histogram of one kind of call.
struct call_metrics
{
    metric_counter m_answered;
    metric_counter m_failed;
    metric_histogram m_latency_ms;
};

/// The metrics of one process, each kind of call under its own label. Safe to
/// use from several threads.
class node_metrics
{
public:
    /// Returns the metrics of one kind of call to a dependency, for example of
    /// "watch" calls to "store".
    call_metrics& calls(const std::string& dependency, const std::string& kind);
    /// Records an answer to a caller by method and status.
    void observe_caller_answer(const std::string& method, int status,
                               double took_ms);
    /// Counts a request that a server refused, or a connection that it closed
    /// by itself, by the server's name.
    void count_refusal(const std::string& server, connection_refusal cause);
    /// Sets what the connections of a server hold.
    void set_held_bytes(const std::string& server, std::size_t bytes);
    /// Returns the metrics of this process as the leader.
    const leader_metrics& leader() const { return m_leader; }
    /// Returns all metrics in the Prometheus text format.
    std::string text() const { return m_registry.text(); }

private:
    metrics_registry m_registry;
    leader_metrics m_leader{m_registry};
    std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, call_metrics> m_calls;
    std::map<std::pair<std::string, int>, call_metrics> m_answers;
    std::map<std::pair<std::string, connection_refusal>, metric_counter>
        m_refusals;
    std::map<std::string, metric_gauge> m_held_bytes;
};

} // namespace kingcuprudder::node

#endif
