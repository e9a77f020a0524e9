#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_METRICS_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_METRICS_HPP

#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/region/region_statistics.hpp>
#include <kingcuprudder/runtime/metrics.hpp>

#include <mutex>

namespace kingcuprudder
{

/// The metrics of a scheduler process.
class scheduler_metrics
{
public:
    scheduler_metrics();

    /// Counts the answer to a store call and records its latency.
    void on_store_answer(const store_answer& answer, span latency);

    /// Counts the answer to a command to a worker.
    void on_worker_answer(const worker_answer& answer);

    void on_heartbeat() { m_heartbeats.increment(); }
    void on_caller_call() { m_caller_calls.increment(); }

    /// Sets the values of the region and the number of takeovers since the
    /// process started. Safe to use from several threads.
    void set_statistics(const region_statistics& numbers,
                        std::uint64_t takeovers);

    /// Returns all metrics in the Prometheus text format.
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
    metric_gauge m_queued_jobs;
    metric_gauge m_active_jobs;
    metric_gauge m_open_permits;
    metric_gauge m_listed_workers;
    metric_gauge m_set_aside_workers;
    metric_gauge m_free_accelerators;
    metric_gauge m_scattered_accelerators;
    metric_polled_counter m_placements;
    metric_polled_counter m_reclaims;
    metric_polled_counter m_released_attempts;
    metric_polled_counter m_ended_jobs;
    metric_polled_counter m_takeovers;

    std::mutex m_mutex;
    std::uint64_t m_last_takeovers = 0;
};

} // namespace kingcuprudder

#endif
