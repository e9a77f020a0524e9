#include <kingcuprudder/service/scheduler_metrics.hpp>

namespace kingcuprudder
{

scheduler_metrics::scheduler_metrics()
    : m_heartbeats(m_registry.add_counter("kcr_scheduler_heartbeats_total",
                                          "Heartbeats taken from workers.")),
      m_caller_calls(m_registry.add_counter("kcr_scheduler_caller_calls_total",
                                            "Calls taken from callers.")),
      m_store_calls(m_registry.add_counter("kcr_scheduler_store_calls_total",
                                           "Calls made to the store.")),
      m_store_failures(
          m_registry.add_counter("kcr_scheduler_store_failures_total",
                                 "Store calls without a usable answer.")),
      m_store_conflicts(
          m_registry.add_counter("kcr_scheduler_store_conflicts_total",
                                 "Store writes that found another revision.")),
      m_store_latency(m_registry.add_histogram(
          "kcr_scheduler_store_latency_ms",
          "Time until a store call was answered or given up.",
          latency_bounds_ms())),
      m_worker_calls(m_registry.add_counter("kcr_scheduler_worker_calls_total",
                                            "Commands sent to workers.")),
      m_worker_failures(
          m_registry.add_counter("kcr_scheduler_worker_failures_total",
                                 "Commands without a usable answer.")),
      m_owning(m_registry.add_gauge("kcr_scheduler_owner_bool",
                                    "1 while this process owns the region.")),
      m_epoch(m_registry.add_gauge("kcr_scheduler_epoch",
                                   "The epoch that this process owns.")),
      m_settings_revision(
          m_registry.add_gauge("kcr_scheduler_settings_revision",
                               "Revision of the settings in force."))
{
}

void scheduler_metrics::on_store_answer(const store_answer& answer,
                                        span latency)
{
    m_store_calls.increment();
    m_store_latency.observe(static_cast<double>(latency.count()));
    if (std::holds_alternative<store_failed>(answer.m_outcome))
    {
        m_store_failures.increment();
    }
    if (std::holds_alternative<store_conflict>(answer.m_outcome))
    {
        m_store_conflicts.increment();
    }
}

void scheduler_metrics::on_worker_answer(const worker_answer& answer)
{
    m_worker_calls.increment();
    if (std::holds_alternative<worker_unreachable>(answer.m_outcome))
    {
        m_worker_failures.increment();
    }
}

void scheduler_metrics::set_state(bool owning, epoch_number epoch,
                                  std::uint64_t revision)
{
    m_owning.set(owning ? 1 : 0);
    m_epoch.set(static_cast<double>(epoch));
    m_settings_revision.set(static_cast<double>(revision));
}

} // namespace kingcuprudder
