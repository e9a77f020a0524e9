#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/runtime/metrics.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <string_view>

namespace kingcuprudder
{

namespace
{

constexpr std::string_view name_prefix = "kcr_";
constexpr std::string_view counter_suffix = "_total";

/// The units of gauges and histograms; each name must end in one of them.
constexpr std::string_view units[] = {
    "_ms",           "_bytes",   "_percent", "_ratio",       "_jobs",
    "_accelerators", "_workers", "_targets", "_requests",    "_permits",
    "_records",      "_epoch",   "_bool",    "_connections", "_revision"};

bool has_unit(const std::string& name)
{
    return std::any_of(std::begin(units), std::end(units),
                       [&](std::string_view unit)
                       { return std::string_view(name).ends_with(unit); });
}

void check_name(const std::string& name, bool is_counter)
{
    KCR_ASSERT(std::string_view(name).starts_with(name_prefix));
    KCR_ASSERT(is_counter ? std::string_view(name).ends_with(counter_suffix)
                          : has_unit(name));
}

} // namespace

void metric_counter::increment(double amount) const
{
    if (m_counter != nullptr)
    {
        m_counter->Increment(amount);
    }
}

void metric_polled_counter::raise_to(std::uint64_t total)
{
    if (total > m_last_total)
    {
        m_counter.increment(static_cast<double>(total - m_last_total));
        m_last_total = total;
    }
}

void metric_gauge::set(double value) const
{
    if (m_gauge != nullptr)
    {
        m_gauge->Set(value);
    }
}

void metric_histogram::observe(double value) const
{
    if (m_histogram != nullptr)
    {
        m_histogram->Observe(value);
    }
}

class metrics_registry::implementation
{
public:
    prometheus::Registry m_registry;
};

metrics_registry::metrics_registry()
    : m_implementation(std::make_unique<implementation>())
{
}

metrics_registry::~metrics_registry() = default;

metric_counter metrics_registry::add_counter(const std::string& name,
                                             const std::string& help,
                                             const metric_labels& labels)
{
    check_name(name, true);
    return metric_counter(prometheus::BuildCounter()
                              .Name(name)
                              .Help(help)
                              .Register(m_implementation->m_registry)
                              .Add(labels));
}

metric_gauge metrics_registry::add_gauge(const std::string& name,
                                         const std::string& help,
                                         const metric_labels& labels)
{
    check_name(name, false);
    return metric_gauge(prometheus::BuildGauge()
                            .Name(name)
                            .Help(help)
                            .Register(m_implementation->m_registry)
                            .Add(labels));
}

metric_histogram metrics_registry::add_histogram(
    const std::string& name, const std::string& help,
    const std::vector<double>& upper_bounds, const metric_labels& labels)
{
    check_name(name, false);
    return metric_histogram(prometheus::BuildHistogram()
                                .Name(name)
                                .Help(help)
                                .Register(m_implementation->m_registry)
                                .Add(labels, upper_bounds));
}

std::string metrics_registry::text() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_implementation->m_registry.Collect());
}

const char* metrics_registry::content_type()
{
    return "text/plain; version=0.0.4; charset=utf-8";
}

const std::vector<double>& latency_bounds_ms()
{
    static const std::vector<double> bounds{
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000};
    return bounds;
}

} // namespace kingcuprudder
