#ifndef KINGCUPRUDDER_SERVICE_ENTRY_METRICS_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_METRICS_HPP

#include <kingcuprudder/runtime/metrics.hpp>

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>

namespace kingcuprudder
{

/// The values of the metrics of an entry process. Retries and refused
/// connections are counted since the process started.
struct entry_statistics
{
    std::uint64_t m_settings_revision = 0;
    std::uint64_t m_requests_in_flight = 0;
    std::uint64_t m_waiting_callers = 0;
    std::uint64_t m_open_reports = 0;
    bool m_instance_list_reachable = false;
    std::uint64_t m_refused_connections = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_refused_retries = 0;

    friend auto operator<=>(const entry_statistics&,
                            const entry_statistics&) = default;
};

/// The metrics of an entry process. Safe to use from several threads.
class entry_metrics
{
public:
    entry_metrics();

    /// Updates the metrics with these values and returns all of them in the
    /// Prometheus text format.
    std::string text(const entry_statistics& numbers);

private:
    metrics_registry m_registry;
    metric_gauge m_settings_revision;
    metric_gauge m_in_flight;
    metric_gauge m_waiting_callers;
    metric_gauge m_open_reports;
    metric_gauge m_list_reachable;
    metric_polled_counter m_refused_connections;
    metric_polled_counter m_retries;
    metric_polled_counter m_refused_retries;
    std::mutex m_mutex;
};

} // namespace kingcuprudder

#endif
