#ifndef SOAK_PROMISE_BOUNDS_HPP
#define SOAK_PROMISE_BOUNDS_HPP

#include <kingcuprudder/base/time.hpp>

namespace kingcuprudder::soak
{

/// The time bounds of the promises to callers.
struct promise_bounds
{
    /// The time after the acknowledgement of a job in which processes need not
    /// know it yet.
    span m_visible = span(3000);
    /// How long the state of a job can be read after the job's end.
    span m_status_kept = span::seconds(120);
    /// How old a count of pending jobs may be.
    span m_pending_age = span(2000);
    /// How long a caller waits for an answer at the end.
    span m_caller_time = span(3000);
    /// How long a job with a task that can run may have nothing running.
    span m_idle = span(3000);
    /// The time without an unplanned disruption before such an idle time.
    span m_calm_before_idle = span(4000);
    /// The time after the last run of a persistent task in which the task need
    /// not run.
    span m_restart = span(6000);
    /// Samples further apart than this do not show that a state lasted.
    span m_max_sample_gap = span(500);
    /// The time before a request in which a disruption may still affect it.
    span m_contact = span(4000);
    /// The time from SIGTERM until a process is killed.
    span m_grace = span(6000);
    /// The time after m_grace in which the end of a process affects requests.
    span m_after_grace = span(1000);
    /// The time in which a configuration or changed settings come into force.
    span m_configuration_applied = span(3000);
    /// The time after m_configuration_applied in which an acknowledged
    /// configuration still affects requests.
    span m_after_configuration = span(1000);

    friend bool operator==(const promise_bounds&,
                           const promise_bounds&) = default;
};

} // namespace kingcuprudder::soak

#endif
