#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_HTTP_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_HTTP_HPP

#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/service/scheduler_loop.hpp>

#include <atomic>
#include <string>

namespace kingcuprudder
{

/// The scheduler's HTTP interface: heartbeats of workers and the state dump,
/// and on a port of its own the health check.
class scheduler_http
{
public:
    /// Listens on addresses "ip:port"; the loop must outlive this object.
    scheduler_http(scheduler_loop& loop, const std::string& address,
                   const std::string& health_address);
    scheduler_http(const scheduler_http&) = delete;
    scheduler_http& operator=(const scheduler_http&) = delete;

    const std::string& address() const { return m_listener.address(); }
    const std::string& health_address() const
    {
        return m_health_listener.address();
    }

    /// The URL that workers send heartbeats to.
    std::string heartbeat_url() const;

    /// What the health check answers from now on.
    void set_healthy(bool healthy) { m_healthy = healthy; }

private:
    void install(httplib::Server& server);
    void install_health(httplib::Server& server);

    scheduler_loop& m_loop;
    std::atomic<bool> m_healthy = true;
    http_listener m_listener;
    http_listener m_health_listener;
};

/// The state as text; empty when the loop does not answer within a second.
std::string dump_state(scheduler_loop& loop);

} // namespace kingcuprudder

#endif
