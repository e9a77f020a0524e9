#ifndef KINGCUPRUDDER_RUNTIME_HTTP_SERVER_LIMITS_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_SERVER_LIMITS_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>

namespace kingcuprudder
{

/// Limits of an HTTP server.
struct http_server_limits
{
    /// Threads that carry out handlers; with 0 they run on the event loop and
    /// must not block.
    std::size_t m_handler_threads = 0;
    /// Requests that wait for a handler thread or are being handled.
    std::size_t m_max_requests = 512;
    /// A request that has waited for a handler thread for this long is not
    /// handled; 0 for no limit.
    span m_max_thread_wait = span(0);
    /// At this number the connection that was idle longest is closed for a new
    /// one. Connections that are ending may exceed it by an eighth.
    std::size_t m_max_connections = 1500;
    /// What all connections together may hold of requests and responses. Over
    /// it, large requests and responses are dropped.
    std::size_t m_max_held_bytes = std::size_t{64} * 1024 * 1024;
    /// The start line and the header fields of a request.
    std::size_t m_max_header_bytes = std::size_t{16} * 1024;
    std::size_t m_max_body_bytes = std::size_t{256} * 1024;
    /// A connection without a request is closed after this time.
    span m_idle_timeout = span(30'000);
    /// Within this time the header of a request is received.
    span m_header_timeout = span(5000);
    /// Within this time a request is received whole, and a response sent.
    span m_transfer_timeout = span(5000);

    friend bool operator==(const http_server_limits&,
                           const http_server_limits&) = default;
};

/// The limits of a request that can be replaced while the server runs. They
/// apply to the next request of each connection.
struct http_request_limits
{
    std::size_t m_max_header_bytes = 0;
    std::size_t m_max_body_bytes = 0;
    span m_header_timeout;
    span m_idle_timeout;

    friend bool operator==(const http_request_limits&,
                           const http_request_limits&) = default;
};

} // namespace kingcuprudder

#endif
