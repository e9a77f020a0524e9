#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/refusal_recorder.hpp>

#include <utility>

namespace kingcuprudder::node
{

namespace
{

constexpr span log_interval = span(1000);

} // namespace

refusal_recorder::refusal_recorder(std::string server, node_metrics& metrics,
                                   event_log& log)
    : m_server(std::move(server)), m_metrics(metrics), m_log(log)
{
}

void refusal_recorder::note(connection_refusal cause)
{
    m_metrics.count_refusal(m_server, cause);
    cause_count& count = m_counts[cause];
    ++count.m_unlogged;
    const instant now = boottime_now();
    if (count.m_logged_at != instant() &&
        now - count.m_logged_at < log_interval)
    {
        return;
    }
    m_log.write(m_server, "connections_refused", "",
                {{"cause", to_string(cause)},
                 {"count", std::to_string(count.m_unlogged)}});
    count = {0, now};
}

} // namespace kingcuprudder::node
