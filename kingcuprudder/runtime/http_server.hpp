#ifndef KINGCUPRUDDER_RUNTIME_HTTP_SERVER_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_SERVER_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kingcuprudder
{

/// A complete HTTP request.
struct http_request
{
    std::string m_method;
    /// The decoded path without the query.
    std::string m_path;
    /// The header fields, by name in lower case.
    std::map<std::string, std::string> m_headers;
    std::string m_body;
    /// The earliest time at which the first bytes of the request may have
    /// arrived, on the clock of boottime_now().
    instant m_begun_at;
    /// When the last byte of the request was read, on the same clock.
    instant m_received_at;

    /// Returns the value of the field with this name in lower case, or "".
    std::string header(const std::string& name) const;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// The response to an HTTP request.
struct http_response
{
    int m_status = 200;
    std::string m_content_type = "application/json";
    std::map<std::string, std::string> m_headers;
    std::string m_body;
    /// Whether the connection is closed after the response.
    bool m_close = false;

    friend bool operator==(const http_response&,
                           const http_response&) = default;
};

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
    /// Over this number the connection that was idle longest is closed.
    std::size_t m_max_connections = 1500;
    std::size_t m_max_body_bytes = std::size_t{256} * 1024;
    /// A connection without a request is closed after this time.
    span m_idle_timeout = span(30'000);
    /// Within this time a request is received whole, and a response sent.
    span m_transfer_timeout = span(5000);

    friend bool operator==(const http_server_limits&,
                           const http_server_limits&) = default;
};

/// An HTTP/1.1 server on an event loop. A connection occupies no thread; a
/// handler thread is used only for a request that was received whole.
class http_server
{
public:
    using handler = std::function<http_response(const http_request&)>;

    /// Listens on "ip:port"; port 0 selects a free port. `overloaded` makes the
    /// response to a request that is not handled as too many are waiting or as
    /// it has waited too long, `abandoned` the one to a request whose handler
    /// is not waited for any longer; both run on the event loop. Throws
    /// std::exception when it cannot listen.
    http_server(event_loop& loop, const std::string& address,
                const http_server_limits& limits, handler handle,
                handler overloaded = nullptr, handler abandoned = nullptr);
    /// Waits for the handlers in progress. The event loop must be stopped.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The address that it listens on, as "ip:port".
    const std::string& address() const;

    /// From now on the server notices when it stands still. Requests that lay
    /// unread meanwhile count as begun when it was last at work. The hook
    /// receives the length of the standstill, on the event loop.
    void watch_standstill(std::function<void(span length)> noticed);
    /// Closes each connection after its next response, which says so.
    void begin_closing();
    /// Ignores new attempts to connect, and closes the listener soon after,
    /// when it has accepted all connections that were begun before. Requests
    /// on open connections are still read.
    void stop_accepting();
    /// Reads no request that has not arrived yet, and ends the connections
    /// without one. Requests that have arrived are still answered. Closes the
    /// listener, too.
    void stop_reading();
    /// Waits, after stop_reading(), until the last byte of each response was
    /// written. Returns false on timeout.
    bool wait_for_answers(span timeout);
    /// Answers all open requests without waiting for their last bytes or their
    /// handlers: 503 if the request was not received whole, else `overloaded`
    /// makes the response if it was not begun, else `abandoned`.
    void answer_open_requests();
    /// The number of requests that have begun to arrive and whose response was
    /// not written yet.
    std::size_t open_requests() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
