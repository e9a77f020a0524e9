#ifndef KINGCUPRUDDER_NODE_SHUTDOWN_SEQUENCE_HPP
#define KINGCUPRUDDER_NODE_SHUTDOWN_SEQUENCE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/runtime/http_server.hpp>

namespace kingcuprudder::node
{

/// The steps of an orderly end, counted from its signal. A process with little
/// processor time needs all of it, and one without open requests ends after the
/// second step.
struct shutdown_schedule
{
    /// No new connections are accepted. With a grace time of 6 s or more, the
    /// load balancer has taken the process out by then.
    span m_stop_accepting;
    /// Requests on open connections that have not arrived are not read. Callers
    /// that send one request after the other have been told to close by then.
    span m_stop_reading;
    /// Requests whose handlers have not ended are answered without them.
    span m_abandon_handlers;
    /// The process exits, whatever is still open.
    span m_exit;

    friend bool operator==(const shutdown_schedule&,
                           const shutdown_schedule&) = default;
};

/// Returns the steps that end within the grace time.
shutdown_schedule schedule_within(span grace);

/// Serves callers until the end of the schedule, so that each request gets a
/// response, and returns when the process may exit. The signal was received at
/// this time since the boot.
void end_caller_requests(http_server& callers,
                         const shutdown_schedule& schedule, instant signalled,
                         event_log& log);

} // namespace kingcuprudder::node

#endif
