#include <kingcuprudder/node/node_metrics.hpp>

namespace kingcuprudder::node
{

namespace
{

/// Returns the label of a method. Callers can send any, and each label is kept.
std::string method_label(const std::string& method)
{
    const bool known =
        method == "GET" || method == "POST" || method == "DELETE";
    return known ? method : "other";
}

} // namespace

call_metrics& node_metrics::calls(const std::string& dependency,
                                  const std::string& kind)
{
    std::lock_guard lock(m_mutex);
    const auto [found, added] =
        m_calls.try_emplace(std::pair(dependency, kind));
    if (added)
    {
        const metric_labels labels{{"dependency", dependency}, {"call", kind}};
        found->second.m_answered = m_registry.add_counter(
            "kcr_calls_answered_total", "Calls that were answered", labels);
        found->second.m_failed = m_registry.add_counter(
            "kcr_calls_failed_total", "Calls without a usable answer", labels);
        found->second.m_latency_ms = m_registry.add_histogram(
            "kcr_call_duration_ms", "Time until the answer or the failure",
            latency_bounds_ms(), labels);
    }
    return found->second;
}

void node_metrics::observe_caller_answer(const std::string& method, int status,
                                         double took_ms)
{
    std::lock_guard lock(m_mutex);
    const auto [found, added] =
        m_answers.try_emplace(std::pair(method_label(method), status));
    if (added)
    {
        const metric_labels labels{{"method", method_label(method)},
                                   {"status", std::to_string(status)}};
        found->second.m_answered = m_registry.add_counter(
            "kcr_caller_answers_total", "Answers to callers", labels);
        found->second.m_latency_ms = m_registry.add_histogram(
            "kcr_caller_answer_duration_ms", "Time until the answer",
            latency_bounds_ms(), labels);
    }
    found->second.m_answered.increment();
    found->second.m_latency_ms.observe(took_ms);
}

void node_metrics::count_refusal(const std::string& server,
                                 connection_refusal cause)
{
    std::lock_guard lock(m_mutex);
    const auto [found, added] =
        m_refusals.try_emplace(std::pair(server, cause));
    if (added)
    {
        found->second = m_registry.add_counter(
            "kcr_connections_refused_total",
            "Requests refused and connections closed by a server",
            {{"server", server}, {"cause", to_string(cause)}});
    }
    found->second.increment();
}

void node_metrics::set_held_bytes(const std::string& server, std::size_t bytes)
{
    std::lock_guard lock(m_mutex);
    const auto [found, added] = m_held_bytes.try_emplace(server);
    if (added)
    {
        found->second = m_registry.add_gauge(
            "kcr_connections_held_bytes",
            "What the connections of a server hold", {{"server", server}});
    }
    found->second.set(static_cast<double>(bytes));
}

} // namespace kingcuprudder::node
