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
                               "Revision of the settings in force.")),
      m_queued_jobs(m_registry.add_gauge("kcr_scheduler_queued_jobs",
                                         "Jobs that wait to be placed.")),
      m_active_jobs(m_registry.add_gauge("kcr_scheduler_active_jobs",
                                         "Jobs that hold accelerators.")),
      m_open_permits(m_registry.add_gauge(
          "kcr_scheduler_open_permits",
          "Requests that were permitted and have not ended.")),
      m_listed_workers(
          m_registry.add_gauge("kcr_scheduler_listed_workers",
                               "Workers that the instance list shows.")),
      m_set_aside_workers(m_registry.add_gauge(
          "kcr_scheduler_set_aside_workers",
          "Workers without new work because jobs failed on them.")),
      m_free_accelerators(m_registry.add_gauge(
          "kcr_scheduler_free_accelerators", "Accelerators that are free.")),
      m_scattered_accelerators(m_registry.add_gauge(
          "kcr_scheduler_scattered_accelerators",
          "Free accelerators on workers that are partly in use.")),
      m_placements(m_registry.add_counter("kcr_scheduler_placements_total",
                                          "Attempts placed as owner.")),
      m_reclaims(m_registry.add_counter(
          "kcr_scheduler_reclaims_total",
          "Attempts stopped as owner to restore a guarantee.")),
      m_released_attempts(m_registry.add_counter(
          "kcr_scheduler_released_attempts_total",
          "Attempts that ended with the job queued again.")),
      m_ended_jobs(m_registry.add_counter("kcr_scheduler_ended_jobs_total",
                                          "Jobs ended as owner.")),
      m_takeovers(m_registry.add_counter(
          "kcr_scheduler_takeovers_total",
          "Times that this process has taken the region over."))
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

void scheduler_metrics::set_statistics(const region_statistics& numbers,
                                       std::uint64_t takeovers)
{
    const std::lock_guard lock(m_mutex);
    if (takeovers < m_last_takeovers)
    {
        return; // Older than the values set last.
    }
    m_owning.set(numbers.m_owning ? 1 : 0);
    m_epoch.set(static_cast<double>(numbers.m_epoch));
    m_settings_revision.set(static_cast<double>(numbers.m_settings_revision));
    m_queued_jobs.set(static_cast<double>(numbers.m_queued_jobs));
    m_active_jobs.set(static_cast<double>(numbers.m_active_jobs));
    m_open_permits.set(static_cast<double>(numbers.m_open_permits));
    m_listed_workers.set(static_cast<double>(numbers.m_listed_workers));
    m_set_aside_workers.set(static_cast<double>(numbers.m_set_aside_workers));
    m_free_accelerators.set(static_cast<double>(numbers.m_free_accelerators));
    m_scattered_accelerators.set(
        static_cast<double>(numbers.m_scattered_accelerators));
    if (takeovers > m_last_takeovers)
    {
        m_placements.restart();
        m_reclaims.restart();
        m_released_attempts.restart();
        m_ended_jobs.restart();
    }
    m_last_takeovers = takeovers;
    m_takeovers.raise_to(takeovers);
    m_placements.raise_to(numbers.m_decisions.m_placements);
    m_reclaims.raise_to(numbers.m_decisions.m_reclaims);
    m_released_attempts.raise_to(numbers.m_decisions.m_released_attempts);
    m_ended_jobs.raise_to(numbers.m_decisions.m_ended_jobs);
}

} // namespace kingcuprudder
