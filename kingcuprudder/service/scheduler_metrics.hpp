#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_METRICS_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_METRICS_HPP

#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/runtime/metrics.hpp>

namespace kingcuprudder
{

/// What a scheduler process counts about itself.
class scheduler_metrics
{
public:
    scheduler_metrics();

    /// Notes the answer to a store call and how long it took.
    void on_store_answer(const store_answer& answer, span latency);

    /// Notes the answer to a command to a worker.
    void on_worker_answer(const worker_answer& answer);

    void on_heartbeat() { m_heartbeats.increment(); }
    void on_caller_call() { m_caller_calls.increment(); }

    /// Notes the ownership and the settings in force.
    void set_state(bool owning, epoch_number epoch, std::uint64_t revision);

    /// All metrics in the Prometheus text format.
    std::string text() const { return m_registry.text(); }

private:
    metrics_registry m_registry;
    metric_counter m_heartbeats;
    metric_counter m_caller_calls;
    metric_counter m_store_calls;
    metric_counter m_store_failures;
    metric_counter m_store_conflicts;
    metric_histogram m_store_latency;
    metric_counter m_worker_calls;
    metric_counter m_worker_failures;
    metric_gauge m_owning;
    metric_gauge m_epoch;
    metric_gauge m_settings_revision;
};

} // namespace kingcuprudder

#endif
