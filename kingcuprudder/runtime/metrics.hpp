#ifndef KINGCUPRUDDER_RUNTIME_METRICS_HPP
#define KINGCUPRUDDER_RUNTIME_METRICS_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace kingcuprudder
{

using metric_labels = std::map<std::string, std::string>;

/// A counter, which increases monotonically. Valid as long as its registry. A
/// default-constructed counter ignores increments.
class metric_counter
{
public:
    metric_counter() = default;
    explicit metric_counter(prometheus::Counter& counter) : m_counter(&counter)
    {
    }

    /// Adds to the counter; the amount must not be negative.
    void increment(double amount = 1) const;

private:
    prometheus::Counter* m_counter = nullptr;
};

/// A counter that is updated from a running total kept elsewhere. Not
/// thread-safe.
class metric_polled_counter
{
public:
    explicit metric_polled_counter(metric_counter counter) : m_counter(counter)
    {
    }

    /// Adds the increase since the last total to the counter; a total that is
    /// not larger than the last one changes nothing.
    void raise_to(std::uint64_t total);

    /// Expects the totals to start from zero again, as after a takeover; the
    /// counter keeps its value.
    void restart() { m_last_total = 0; }

private:
    metric_counter m_counter;
    std::uint64_t m_last_total = 0;
};

/// A gauge, which can increase and decrease. Valid as long as its registry. A
/// default-constructed gauge ignores values.
class metric_gauge
{
public:
    metric_gauge() = default;
    explicit metric_gauge(prometheus::Gauge& gauge) : m_gauge(&gauge) {}

    void set(double value) const;

private:
    prometheus::Gauge* m_gauge = nullptr;
};

/// A histogram, which counts values in buckets. Valid as long as its registry.
/// A default-constructed histogram ignores values.
class metric_histogram
{
public:
    metric_histogram() = default;
    explicit metric_histogram(prometheus::Histogram& histogram)
        : m_histogram(&histogram)
    {
    }

    void observe(double value) const;

private:
    prometheus::Histogram* m_histogram = nullptr;
};

/// The metrics of one process. Thread-safe. Every name starts with "kcr_";
/// counters end in "_total", other names in their unit.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Adds a metric. Throws std::logic_error for a name that lacks the prefix
    /// or the suffix.
    metric_counter add_counter(const std::string& name, const std::string& help,
                               const metric_labels& labels = {});
    metric_gauge add_gauge(const std::string& name, const std::string& help,
                           const metric_labels& labels = {});
    metric_histogram add_histogram(const std::string& name,
                                   const std::string& help,
                                   const std::vector<double>& upper_bounds,
                                   const metric_labels& labels = {});

    /// Returns all metrics in the Prometheus text format, as served at
    /// /metrics.
    std::string text() const;

    /// The media type of text().
    static const char* content_type();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Upper bounds of histogram buckets, in milliseconds, for network calls and
/// waiting times.
const std::vector<double>& latency_bounds_ms();

} // namespace kingcuprudder

#endif
