#ifndef KINGCUPRUDDER_NODE_REFUSAL_RECORDER_HPP
#define KINGCUPRUDDER_NODE_REFUSAL_RECORDER_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/runtime/connection_refusal.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace kingcuprudder::node
{

/// Counts what a server refuses, by cause, and logs it at most once a second
/// for each cause. Used on one thread only.
class refusal_recorder
{
public:
    /// The referenced objects must outlive this one. The server has this name
    /// in the log and in the metrics, such as "callers".
    refusal_recorder(std::string server, node_metrics& metrics, event_log& log);

    void note(connection_refusal cause);

private:
    struct cause_count
    {
        /// Refusals since the last line.
        std::int64_t m_unlogged = 0;
        instant m_logged_at;
    };

    std::string m_server;
    node_metrics& m_metrics;
    event_log& m_log;
    std::map<connection_refusal, cause_count> m_counts;
};

} // namespace kingcuprudder::node

#endif
