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

/// The bounds of an HTTP server for callers.
struct http_bounds
{
    /// Threads, and so connections that are served at the same time.
    std::size_t m_threads = 64;
    /// Connections that wait for a thread; further ones are refused with 429.
    std::size_t m_max_queued = 64;
    std::size_t m_max_body_bytes = std::size_t{1024} * 1024;
    std::size_t m_max_calls_per_connection = 1000;
    /// An idle connection holds a thread, so it is closed early.
    span m_idle_timeout = span::seconds(2);
    /// For one read or write on a connection.
    span m_transfer_timeout = span::seconds(5);
};

/// An HTTP server whose shutdown interrupts no accepted connection, and which
/// refuses connections over its bounds instead of letting them wait.
class entry_http_server
{
public:
    using route_installer = std::function<void(httplib::Server&)>;

    /// Listens on "ip:port"; port 0 takes a free one. The refusal is the JSON
    /// body that connections over the bounds receive. Throws
    /// std::runtime_error when it cannot listen.
    entry_http_server(const std::string& address, const http_bounds& bounds,
                      std::string refusal, const route_installer& install);
    ~entry_http_server();
    entry_http_server(const entry_http_server&) = delete;
    entry_http_server& operator=(const entry_http_server&) = delete;

    /// The address in use, as "ip:port".
    const std::string& address() const;

    /// From now on each answer closes its connection.
    void begin_draining();

    /// Closes the listener and waits for all accepted connections.
    void stop();

    /// Connections that were refused because of the bounds.
    std::uint64_t refused_connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
