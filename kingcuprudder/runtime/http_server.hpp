#ifndef KINGCUPRUDDER_RUNTIME_HTTP_SERVER_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_SERVER_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/connection_refusal.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>
#include <kingcuprudder/runtime/http_message.hpp>
#include <kingcuprudder/runtime/http_server_limits.hpp>

#include <functional>
#include <memory>
#include <string>

namespace kingcuprudder
{

/// An HTTP/1.1 server on an event loop. A connection occupies no thread; a
/// handler thread is used only for a request that was received whole.
class http_server
{
public:
    using handler = http_handler;

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
    /// Sets the hook that learns of each request that the server refuses and
    /// each connection that it closes by itself. It runs on the event loop.
    void watch_refusals(std::function<void(connection_refusal)> refused);
    /// Replaces the limits of requests that have not begun to arrive. Callable
    /// from any thread.
    void set_request_limits(const http_request_limits& limits);
    /// What all connections hold of requests and responses, in bytes. Callable
    /// from any thread.
    std::size_t held_bytes() const;
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
