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

/// The bodies of calls; a larger one is refused.
constexpr std::size_t max_call_bytes = std::size_t{1024} * 1024;

/// The bodies of answers. Lists of all jobs are larger than any call.
constexpr std::size_t max_answer_bytes = 8 * max_call_bytes;

/// Calls in progress on one connection.
constexpr std::uint32_t max_calls_per_link = 512;

/// One HTTP/2 connection on a non-blocking socket: moves the bytes between
/// the socket and the protocol session, and notices a silent peer by pings.
/// The subclasses add the streams of a client or a server.
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

    /// The poll() events to wait for.
    short wanted_events() const;

    /// Carries out what poll() reported. Afterwards the link may be broken.
    void handle_events(short events);

    /// Sends what the session has queued, as far as the socket takes it.
    void flush();

    /// While calls are outstanding, sends pings and breaks the link when one
    /// is not answered in time. Returns the time of the next check.
    std::int64_t check_pings(std::int64_t now, bool outstanding);

    /// Whether the connection can no longer be used.
    bool broken() const { return m_broken; }

    /// Whether the peer said that it takes no further calls.
    bool draining() const { return m_draining; }

    /// When the peer last sent anything, by steady_milliseconds().
    std::int64_t last_received() const { return m_last_received; }

protected:
    http2_link(socket_handle socket, side which);

    nghttp2_session* session() const { return m_session; }

    /// A request or answer header of a stream.
    virtual void on_header(std::int32_t stream, const std::string& name,
                           const std::string& value) = 0;
    virtual void on_data(std::int32_t stream, const std::uint8_t* data,
                         std::size_t size) = 0;
    /// The peer has sent all of its part of the stream.
    virtual void on_end_of_input(std::int32_t stream) = 0;
    virtual void on_stream_closed(std::int32_t stream,
                                  std::uint32_t error_code) = 0;
    /// The first part of a request has been passed to the socket.
    virtual void on_request_sent(std::int32_t stream) = 0;
    /// A request could not be sent and will not be.
    virtual void on_request_not_sent(std::int32_t stream) = 0;

private:
    friend struct http2_callbacks;

    void receive();
    void begin_session(side which);

    socket_handle m_socket;
    nghttp2_session* m_session = nullptr;
    std::string m_outbox; // Taken from the session, not yet from the socket.
    std::size_t m_outbox_sent = 0;
    std::int64_t m_last_received = 0;
    std::int64_t m_ping_sent = 0;
    bool m_ping_pending = false;
    bool m_broken = false;
    bool m_draining = false;
};

} // namespace kingcuprudder

#endif
