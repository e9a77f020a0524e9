#ifndef SOAK_PLANNED_WORK_CHECKS_HPP
#define SOAK_PLANNED_WORK_CHECKS_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/promise_bounds.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

enum class planned_work_kind
{
    termination,   ///< SIGTERM to a process.
    reload,        ///< SIGHUP to a process.
    configuration, ///< A new configuration for all processes.
};

/// Planned work around which every request must get a response.
struct planned_work
{
    planned_work_kind m_kind = planned_work_kind::termination;
    int m_process = 0; ///< The process that got the signal, if it is one.
    /// When the signal or the configuration was sent.
    instant m_at;
    /// When the configuration was acknowledged; empty if it was not.
    std::optional<instant> m_acknowledged_at;

    friend bool operator==(const planned_work&, const planned_work&) = default;
};

/// An unplanned disruption of any part of the deployment.
struct disruption
{
    instant m_begin;
    instant m_end;

    friend bool operator==(const disruption&, const disruption&) = default;
};

/// How a request ended for its caller.
enum class request_result
{
    answered,      ///< It got a complete response, of any status.
    no_response,   ///< It was sent and got no complete response.
    not_connected, ///< Nothing was sent.
};

/// A request to a process. All instants are of one steady clock.
struct observed_request
{
    int m_process = 0;  ///< The index of the process.
    std::string m_call; ///< The method and the path.
    instant m_sent_at;  ///< When the first byte was sent.
    instant m_ended_at; ///< When the response or the failure was seen.
    request_result m_result = request_result::answered;
    std::string m_error; ///< The error without a response.

    friend bool operator==(const observed_request&,
                           const observed_request&) = default;
};

/// Returns a message for each request that got no response though it was sent
/// before planned work at its process had come to its end and ended after the
/// work had begun, with no disruption from m_contact before the request to its
/// end (LOST). The work ends m_grace + m_after_grace after SIGTERM,
/// m_configuration_applied after SIGHUP, and m_configuration_applied +
/// m_after_configuration after the acknowledgement of a configuration.
std::vector<std::string>
planned_work_violations(const std::vector<observed_request>& requests,
                        const std::vector<planned_work>& works,
                        const std::vector<disruption>& disruptions,
                        const promise_bounds& bounds);

} // namespace kingcuprudder::soak

#endif
