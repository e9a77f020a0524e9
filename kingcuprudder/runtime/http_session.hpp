#ifndef KINGCUPRUDDER_RUNTIME_HTTP_SESSION_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_SESSION_HPP

#include <kingcuprudder/runtime/connection_budget.hpp>
#include <kingcuprudder/runtime/connection_refusal.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>
#include <kingcuprudder/runtime/http_message.hpp>
#include <kingcuprudder/runtime/http_request_reader.hpp>
#include <kingcuprudder/runtime/http_server_limits.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace kingcuprudder
{

class http_session;

/// A request that waits for a handler thread or is being handled.
struct pending_request
{
    explicit pending_request(std::shared_ptr<const http_request> received)
        : m_received(std::move(received))
    {
    }

    const std::shared_ptr<const http_request> m_received;
    /// Set by the handler thread or by who refuses the request, whichever is
    /// first.
    std::atomic<bool> m_begun = false;
};

/// What the sessions of a server share. The hooks run on the event loop.
struct http_session_environment
{
    event_loop& m_loop;
    http_server_limits m_limits;
    /// Whether requests that have not arrived yet are read.
    bool m_reading = true;
    /// Each response closes its connection.
    std::atomic<bool> m_closing = false;
    /// All connections read into it what they drop.
    std::vector<char> m_dropped_bytes = {};
    /// Makes the response to a request that no handler has begun.
    http_handler m_overloaded = nullptr;
    /// Makes the response to a request whose handler is not waited for.
    http_handler m_abandoned = nullptr;
    std::function<void(const std::shared_ptr<http_session>&,
                       const std::shared_ptr<const http_request>&)>
        m_dispatch = nullptr;
    /// Counts a request that has begun to arrive, or one that is over.
    std::function<void(bool begun)> m_count_request = nullptr;
    /// Returns the earliest time at which what is read now may have arrived.
    std::function<instant()> m_earliest_arrival = nullptr;
    std::function<void(const http_session&, const connection_usage&)>
        m_usage_changed = nullptr;
    std::function<void(connection_refusal)> m_refused = nullptr;
    std::function<void(const http_session&)> m_closed = nullptr;
};

/// A connection of a caller, which serves one request at a time. Used on the
/// event loop's thread only.
class http_session : public std::enable_shared_from_this<http_session>
{
public:
    using connection_id = connection_budget::connection_id;

    http_session(http_session_environment& environment, connection_id id,
                 boost::asio::ip::tcp::socket socket);

    connection_id id() const { return m_id; }

    /// Begins to wait for a request.
    void await_request();
    /// Notes that the next request may have arrived since then. The one that
    /// is being received began before.
    void may_be_unread_since(instant when);
    /// Notes that what is not in the kernel now arrives later.
    void ends_standstill();
    /// Ends the connection unless it has a request. One that has arrived and is
    /// not read yet is answered.
    void end_when_idle();
    /// Begins the wait for the response to the request. It is refused if no
    /// thread begins it within the limit; 0 for no limit.
    void await_response(std::shared_ptr<pending_request> pending,
                        span max_wait);
    /// Sends the response unless the request was answered without it.
    void answer(const pending_request& pending, http_response response);
    /// Sends the response to the request that was read.
    void send(http_response response);
    /// Answers the request that is being received, waits for a thread or is
    /// being handled.
    void answer_without_handler();
    /// Makes room for other connections: refuses the request unless a handler
    /// has begun it, ends an idle connection, closes one whose response is not
    /// taken.
    void give_way(connection_refusal cause);
    /// Closes the connection at once.
    void close();

private:
    void refuse_unless_begun();
    bool has_arrived() const;
    void end_idle_read();
    void receive(instant earliest_arrival);
    void handle_read(const boost::system::error_code& error, std::size_t bytes);
    void parse();
    void continue_after_header();
    void await_more();
    void limit_receipt();
    void end_receipt(boost::beast::http::status refusal);
    void reject(http_read_error error);
    void handle();
    void drain();
    void read_and_drop();
    void close_later(span time, connection_refusal cause);
    void set_busy(bool busy);
    void note_usage(connection_phase phase, std::size_t bytes);

    http_session_environment& m_environment;
    const connection_id m_id;
    boost::asio::ip::tcp::socket m_socket;
    event_loop::timer m_timer;
    http_request_reader m_reader;
    boost::beast::http::response<boost::beast::http::string_body> m_response;
    /// The request that has no response yet.
    std::shared_ptr<pending_request> m_pending;
    connection_phase m_phase = connection_phase::idle;
    /// What the connection was last noted to hold.
    std::size_t m_noted_bytes = 0;
    bool m_busy = false;
    /// The header of the request that is being received is complete.
    bool m_has_header = false;
    /// The time limit of the present part of the receipt was set.
    bool m_has_time_limit = false;
    /// The response to a request whose receipt is to end.
    std::optional<http_response> m_refusal;
    /// The wait for a request was ended.
    bool m_ending = false;
    bool m_keep_alive = false;
    /// When the request began to arrive, or since when the connection is idle
    /// or ending.
    instant m_since;
    instant m_begun_at;
    /// A request that is not read yet may have arrived since then.
    std::optional<instant> m_unread_since;
    /// The earliest time at which what is in the reader may have arrived.
    instant m_buffered_since;
    /// Bytes that were dropped after the last response.
    std::size_t m_dropped_bytes = 0;
};

} // namespace kingcuprudder

#endif
