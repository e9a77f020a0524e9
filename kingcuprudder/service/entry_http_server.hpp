#ifndef KINGCUPRUDDER_SERVICE_ENTRY_HTTP_SERVER_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_HTTP_SERVER_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace httplib
{
class Server;
}

namespace kingcuprudder
{

/// The resource limits of an HTTP server for callers.
struct http_bounds
{
    /// The number of threads, which is also the number of connections that are
    /// served at the same time.
    std::size_t m_threads = 64;
    /// The number of connections that may wait for a thread. Further
    /// connections are refused with status 429.
    std::size_t m_max_queued = 64;
    std::size_t m_max_body_bytes = std::size_t{1024} * 1024;
    std::size_t m_max_calls_per_connection = 1000;
    /// An idle connection occupies a thread, so it is closed early.
    span m_idle_timeout = span::seconds(2);
    /// Timeout of one read or write on a connection.
    span m_transfer_timeout = span::seconds(5);
};

/// An HTTP server that completes all accepted connections before it stops, and
/// refuses connections over its limits instead of queuing them without a bound.
class entry_http_server
{
public:
    using route_installer = std::function<void(httplib::Server&)>;

    /// Listens on "ip:port"; port 0 selects a free port. `refusal` is the JSON
    /// body of the response to connections over the limits. Throws
    /// std::runtime_error if the server cannot listen.
    entry_http_server(const std::string& address, const http_bounds& bounds,
                      std::string refusal, const route_installer& install);
    ~entry_http_server();
    entry_http_server(const entry_http_server&) = delete;
    entry_http_server& operator=(const entry_http_server&) = delete;

    /// Returns the address that the server listens on, as "ip:port".
    const std::string& address() const;

    /// Starts draining: every connection is closed after its next response.
    void begin_draining();

    /// Closes the listener and waits until all accepted connections are closed.
    void stop();

    /// Returns the number of connections refused because of the limits.
    std::uint64_t refused_connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
