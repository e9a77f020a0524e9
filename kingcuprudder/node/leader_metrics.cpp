#include <kingcuprudder/node/leader_metrics.hpp>

namespace kingcuprudder::node
{

namespace
{

/// The events of the decision log that are counted.
constexpr const char* counted_events[] = {
    "worker_lost",     "worker_unreliable", "crash_attributed",
    "crash_withdrawn", "crashes_cleared",   "suspected_task_waits",
    "task_given_up",   "job_failed",        "late_start_possible",
    "stop_repeated"};

} // namespace

leader_metrics::leader_metrics(metrics_registry& registry)
    : m_planning_ms(registry.add_histogram(
          "kcr_leader_planning_ms", "Length of a planning pass of the leader",
          latency_bounds_ms())),
      m_waiting_records(registry.add_gauge(
          "kcr_leader_waiting_records", "Job records that wait to be stored")),
      m_silent_workers(registry.add_gauge(
          "kcr_leader_silent_workers",
          "Workers in use that did not answer the last renewal")),
      m_workers_with_unknown_runs(registry.add_gauge(
          "kcr_leader_unknown_run_workers",
          "Workers that get no work as they hold runs without a record")),
      m_idle_jobs_beside_room(registry.add_gauge(
          "kcr_leader_idle_jobs",
          "Jobs with a due step and nothing running for over 3 s though there "
          "is room for two"))
{
    // Each counter is there from the start, so that its first increase shows.
    for (const char* event : counted_events)
    {
        m_decisions.emplace(
            event, registry.add_counter("kcr_leader_decisions_total",
                                        "Decisions of the leader, by event",
                                        {{"event", event}}));
    }
}

void leader_metrics::observe_planning(double took_ms) const
{
    m_planning_ms.observe(took_ms);
}

void leader_metrics::count_decision(const std::string& event) const
{
    const auto found = m_decisions.find(event);
    if (found != m_decisions.end())
    {
        found->second.increment();
    }
}

void leader_metrics::set_state(std::size_t waiting_records,
                               std::size_t silent_workers) const
{
    m_waiting_records.set(static_cast<double>(waiting_records));
    m_silent_workers.set(static_cast<double>(silent_workers));
}

void leader_metrics::set_workers_with_unknown_runs(std::size_t workers) const
{
    m_workers_with_unknown_runs.set(static_cast<double>(workers));
}

void leader_metrics::set_idle_jobs_beside_room(std::size_t jobs) const
{
    m_idle_jobs_beside_room.set(static_cast<double>(jobs));
}

} // namespace kingcuprudder::node
