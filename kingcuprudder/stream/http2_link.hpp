#ifndef KINGCUPRUDDER_STREAM_HTTP2_LINK_HPP
#define KINGCUPRUDDER_STREAM_HTTP2_LINK_HPP

#include <kingcuprudder/stream/socket_handle.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace kingcuprudder
{

/// Maximum size of the body of a call; larger calls are refused.
constexpr std::size_t max_call_bytes = std::size_t{1024} * 1024;

/// Maximum size of the body of a response. Lists of all jobs are larger than
/// any call.
constexpr std::size_t max_answer_bytes = 8 * max_call_bytes;

/// Maximum number of calls in progress on one connection.
constexpr std::uint32_t max_calls_per_link = 512;

/// An HTTP/2 connection on a non-blocking socket: transfers bytes between the
/// socket and the nghttp2 session, and detects an unresponsive peer by pings.
/// The subclasses implement the streams of a client or a server.
class http2_link
{
public:
    enum class side
    {
        client,
        server,
    };

    virtual ~http2_link();
    http2_link(const http2_link&) = delete;
    http2_link& operator=(const http2_link&) = delete;

    const socket_handle& socket() const { return m_socket; }

    /// Returns the poll() events to wait for.
    short wanted_events() const;

    /// Processes the events that poll() returned. Afterwards the link may be
    /// broken.
    void handle_events(short events);

    /// Writes the output that the session has queued until the socket would
    /// block.
    void flush();

    /// While calls are in progress, sends pings and marks the link as broken if
    /// one is not answered in time. Returns the time of the next check.
    std::int64_t check_pings(std::int64_t now, bool outstanding);

    /// Returns whether the connection can no longer be used.
    bool broken() const { return m_broken; }

    /// Returns whether the peer has announced that it accepts no further calls.
    bool draining() const { return m_draining; }

    /// Returns when data was last received from the peer, in
    /// steady_milliseconds().
    std::int64_t last_received() const { return m_last_received; }

protected:
    http2_link(socket_handle socket, side which);

    nghttp2_session* session() const { return m_session; }

    /// Called for each request or response header of a stream.
    virtual void on_header(std::int32_t stream, const std::string& name,
                           const std::string& value) = 0;
    virtual void on_data(std::int32_t stream, const std::uint8_t* data,
                         std::size_t size) = 0;
    /// Called when the peer has sent the end of the stream.
    virtual void on_end_of_input(std::int32_t stream) = 0;
    virtual void on_stream_closed(std::int32_t stream,
                                  std::uint32_t error_code) = 0;
    /// Called when the first part of a request is passed to the socket.
    virtual void on_request_sent(std::int32_t stream) = 0;
    /// Called when a request failed before it was sent.
    virtual void on_request_not_sent(std::int32_t stream) = 0;

private:
    friend struct http2_callbacks;

    void receive();
    void begin_session(side which);

    socket_handle m_socket;
    nghttp2_session* m_session = nullptr;
    std::string
        m_outbox; // Output of the session, not yet written to the socket.
    std::size_t m_outbox_sent = 0;
    std::int64_t m_last_received = 0;
    std::int64_t m_ping_sent = 0;
    bool m_ping_pending = false;
    bool m_broken = false;
    bool m_draining = false;
};

} // namespace kingcuprudder

#endif
