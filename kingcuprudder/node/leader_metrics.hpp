#ifndef KINGCUPRUDDER_NODE_LEADER_METRICS_HPP
#define KINGCUPRUDDER_NODE_LEADER_METRICS_HPP

#include <kingcuprudder/runtime/metrics.hpp>

#include <cstddef>
#include <map>
#include <string>

namespace kingcuprudder::node
{

/// The metrics of the scheduler while this process is the leader. The gauges
/// are 0 otherwise. Safe to use from several threads.
class leader_metrics
{
public:
    explicit leader_metrics(metrics_registry& registry);

    /// Records the length of a planning pass.
    void observe_planning(double took_ms) const;
    /// Counts a decision, if its event is among those that are counted. The
    /// number of counters does not depend on the events.
    void count_decision(const std::string& event) const;
    /// Sets the number of job records that wait to be stored and the number of
    /// workers that did not answer the last renewal.
    void set_state(std::size_t waiting_records,
                   std::size_t silent_workers) const;
    /// Sets the number of workers that get no work as they hold runs without a
    /// record.
    void set_workers_with_unknown_runs(std::size_t workers) const;
    /// Sets the number of jobs that have had nothing running for too long
    /// though there is room for two.
    void set_idle_jobs_beside_room(std::size_t jobs) const;

private:
    metric_histogram m_planning_ms;
    metric_gauge m_waiting_records;
    metric_gauge m_silent_workers;
    metric_gauge m_workers_with_unknown_runs;
    metric_gauge m_idle_jobs_beside_room;
    std::map<std::string, metric_counter> m_decisions;
};

} // namespace kingcuprudder::node

#endif
