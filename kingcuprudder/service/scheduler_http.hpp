#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_HTTP_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_HTTP_HPP

#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/service/scheduler_loop.hpp>
#include <kingcuprudder/service/scheduler_metrics.hpp>

#include <atomic>
#include <string>

namespace kingcuprudder
{

/// The HTTP interface of the scheduler: heartbeats of workers, the state dump
/// and the metrics, and on a separate port the health check.
class scheduler_http
{
public:
    /// Listens on addresses "ip:port". The loop and the metrics must outlive
    /// this object.
    scheduler_http(scheduler_loop& loop, scheduler_metrics& metrics,
                   const std::string& address,
                   const std::string& health_address);
    scheduler_http(const scheduler_http&) = delete;
    scheduler_http& operator=(const scheduler_http&) = delete;

    const std::string& address() const { return m_listener.address(); }
    const std::string& health_address() const
    {
        return m_health_listener.address();
    }

    /// Returns the URL that workers send heartbeats to.
    std::string heartbeat_url() const;

    /// Sets the result of the health check.
    void set_healthy(bool healthy) { m_healthy = healthy; }

private:
    void install(httplib::Server& server);
    void install_health(httplib::Server& server);

    scheduler_loop& m_loop;
    scheduler_metrics& m_metrics;
    std::atomic<bool> m_healthy = true;
    http_listener m_listener;
    http_listener m_health_listener;
};

/// Returns the state as text, or an empty string if the loop does not respond
/// within a second.
std::string dump_state(scheduler_loop& loop);

} // namespace kingcuprudder

#endif
