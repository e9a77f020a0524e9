#include <kingcuprudder/service/entry_metrics.hpp>

namespace kingcuprudder
{

entry_metrics::entry_metrics()
    : m_settings_revision(m_registry.add_gauge(
          "kcr_entry_settings_revision", "Revision of the settings in force.")),
      m_in_flight(m_registry.add_gauge("kcr_entry_in_flight_requests",
                                       "Requests to services in progress.")),
      m_waiting_callers(
          m_registry.add_gauge("kcr_entry_waiting_requests",
                               "Callers that wait for the end of a job.")),
      m_open_reports(m_registry.add_gauge(
          "kcr_entry_unreported_permits",
          "Permitted requests whose outcome the owner does not know yet.")),
      m_list_reachable(
          m_registry.add_gauge("kcr_entry_instance_list_reachable_bool",
                               "1 while the instance list can be read.")),
      m_refused_connections(m_registry.add_counter(
          "kcr_entry_refused_connections_total",
          "Connections refused because too many were open.")),
      m_retries(m_registry.add_counter("kcr_entry_retries_total",
                                       "Requests sent to a further target.")),
      m_refused_retries(m_registry.add_counter(
          "kcr_entry_refused_retries_total",
          "Retries that the retry budget did not allow."))
{
}

std::string entry_metrics::text(const entry_statistics& numbers)
{
    const std::lock_guard lock(m_mutex);
    m_settings_revision.set(static_cast<double>(numbers.m_settings_revision));
    m_in_flight.set(static_cast<double>(numbers.m_requests_in_flight));
    m_waiting_callers.set(static_cast<double>(numbers.m_waiting_callers));
    m_open_reports.set(static_cast<double>(numbers.m_open_reports));
    m_list_reachable.set(numbers.m_instance_list_reachable ? 1 : 0);
    m_refused_connections.raise_to(numbers.m_refused_connections);
    m_retries.raise_to(numbers.m_retries);
    m_refused_retries.raise_to(numbers.m_refused_retries);
    return m_registry.text();
}

} // namespace kingcuprudder
