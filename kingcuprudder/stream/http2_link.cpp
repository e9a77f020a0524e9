#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/stream/http2_link.hpp>

#include <nghttp2/nghttp2.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <poll.h>
#include <stdexcept>

namespace kingcuprudder
{

namespace
{

// An unresponsive peer is detected after at most one interval and one timeout.
constexpr std::int64_t ping_interval_ms = 2000;
constexpr std::int64_t ping_timeout_ms = 2000;
constexpr std::size_t receive_buffer_bytes = std::size_t{64} * 1024;
constexpr std::int32_t connection_window_bytes = 16 * 1024 * 1024;

std::string to_text(const std::uint8_t* data, std::size_t size)
{
    return std::string(reinterpret_cast<const char*>(data), size);
}

} // namespace

/// Forwards the callbacks of the nghttp2 session to the link.
struct http2_callbacks
{
    static http2_link& link(void* user_data)
    {
        return *static_cast<http2_link*>(user_data);
    }

    static bool is_headers(const nghttp2_frame* frame)
    {
        return frame->hd.type == NGHTTP2_HEADERS;
    }

    static int on_header(nghttp2_session*, const nghttp2_frame* frame,
                         const std::uint8_t* name, std::size_t name_size,
                         const std::uint8_t* value, std::size_t value_size,
                         std::uint8_t, void* user_data)
    {
        link(user_data).on_header(frame->hd.stream_id, to_text(name, name_size),
                                  to_text(value, value_size));
        return 0;
    }

    static int on_data(nghttp2_session*, std::uint8_t, std::int32_t stream,
                       const std::uint8_t* data, std::size_t size,
                       void* user_data)
    {
        link(user_data).on_data(stream, data, size);
        return 0;
    }

    static int on_frame_received(nghttp2_session*, const nghttp2_frame* frame,
                                 void* user_data)
    {
        const auto& head = frame->hd;
        if (head.type == NGHTTP2_PING && (head.flags & NGHTTP2_FLAG_ACK) != 0)
        {
            link(user_data).m_ping_pending = false;
        }
        if (head.type == NGHTTP2_GOAWAY)
        {
            link(user_data).m_draining = true;
        }
        if ((is_headers(frame) || head.type == NGHTTP2_DATA) &&
            (head.flags & NGHTTP2_FLAG_END_STREAM) != 0)
        {
            link(user_data).on_end_of_input(head.stream_id);
        }
        return 0;
    }

    static int on_frame_sent(nghttp2_session*, const nghttp2_frame* frame,
                             void* user_data)
    {
        if (is_headers(frame))
        {
            link(user_data).on_request_sent(frame->hd.stream_id);
        }
        return 0;
    }

    static int on_frame_not_sent(nghttp2_session*, const nghttp2_frame* frame,
                                 int, void* user_data)
    {
        if (is_headers(frame))
        {
            link(user_data).on_request_not_sent(frame->hd.stream_id);
        }
        return 0;
    }

    static int on_stream_closed(nghttp2_session*, std::int32_t stream,
                                std::uint32_t code, void* user_data)
    {
        link(user_data).on_stream_closed(stream, code);
        return 0;
    }

    static nghttp2_session* new_session(http2_link& link, bool is_client)
    {
        nghttp2_session_callbacks* calls = nullptr;
        nghttp2_session_callbacks_new(&calls);
        nghttp2_session_callbacks_set_on_header_callback(calls, on_header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(calls,
                                                                  on_data);
        nghttp2_session_callbacks_set_on_frame_recv_callback(calls,
                                                             on_frame_received);
        nghttp2_session_callbacks_set_on_frame_send_callback(calls,
                                                             on_frame_sent);
        nghttp2_session_callbacks_set_on_frame_not_send_callback(
            calls, on_frame_not_sent);
        nghttp2_session_callbacks_set_on_stream_close_callback(
            calls, on_stream_closed);
        nghttp2_session* session = nullptr;
        const int outcome =
            is_client ? nghttp2_session_client_new(&session, calls, &link)
                      : nghttp2_session_server_new(&session, calls, &link);
        nghttp2_session_callbacks_del(calls);
        if (outcome != 0)
        {
            throw std::runtime_error("cannot create an HTTP/2 session");
        }
        return session;
    }
};

http2_link::http2_link(socket_handle socket, side which)
    : m_socket(std::move(socket)), m_last_received(steady_milliseconds())
{
    begin_session(which);
}

http2_link::~http2_link()
{
    nghttp2_session_del(m_session);
}

void http2_link::begin_session(side which)
{
    m_session = http2_callbacks::new_session(*this, which == side::client);
    const std::array<nghttp2_settings_entry, 2> settings = {{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_calls_per_link},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
         static_cast<std::uint32_t>(max_call_bytes)},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    // With the default window of 64 KB, one large body would block all calls of
    // the connection.
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                          connection_window_bytes);
}

short http2_link::wanted_events() const
{
    const bool writes = m_outbox_sent < m_outbox.size() ||
                        nghttp2_session_want_write(m_session) != 0;
    return static_cast<short>(writes ? POLLIN | POLLOUT : POLLIN);
}

void http2_link::handle_events(short events)
{
    if ((events & (POLLIN | POLLHUP | POLLERR)) != 0)
    {
        receive();
    }
    if (!m_broken)
    {
        flush();
    }
}

void http2_link::receive()
{
    std::array<std::uint8_t, receive_buffer_bytes> buffer{};
    for (;;)
    {
        const ssize_t size =
            ::recv(m_socket.get(), buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR))
        {
            return;
        }
        if (size <= 0)
        {
            m_broken = true;
            return;
        }
        m_last_received = steady_milliseconds();
        if (nghttp2_session_mem_recv(m_session, buffer.data(),
                                     static_cast<std::size_t>(size)) < 0)
        {
            m_broken = true;
            return;
        }
        if (static_cast<std::size_t>(size) < buffer.size())
        {
            return;
        }
    }
}

void http2_link::flush()
{
    while (!m_broken)
    {
        if (m_outbox_sent == m_outbox.size())
        {
            const std::uint8_t* data = nullptr;
            const ssize_t size = nghttp2_session_mem_send(m_session, &data);
            if (size <= 0)
            {
                m_broken = size < 0;
                break;
            }
            m_outbox = to_text(data, static_cast<std::size_t>(size));
            m_outbox_sent = 0;
        }
        const ssize_t sent =
            ::send(m_socket.get(), m_outbox.data() + m_outbox_sent,
                   m_outbox.size() - m_outbox_sent, MSG_NOSIGNAL);
        if (sent < 0)
        {
            m_broken = errno != EAGAIN && errno != EINTR;
            return;
        }
        m_outbox_sent += static_cast<std::size_t>(sent);
    }
    if (nghttp2_session_want_read(m_session) == 0 &&
        nghttp2_session_want_write(m_session) == 0)
    {
        m_broken = true;
    }
}

std::int64_t http2_link::check_pings(std::int64_t now, bool outstanding)
{
    if (m_ping_pending)
    {
        m_broken = m_broken || now - m_ping_sent >= ping_timeout_ms;
        return m_ping_sent + ping_timeout_ms;
    }
    if (!outstanding)
    {
        return INT64_MAX;
    }
    // The first call on an idle connection sends a ping immediately.
    if (now - m_ping_sent >= ping_interval_ms)
    {
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        m_ping_pending = true;
        m_ping_sent = now;
        flush();
        return now + ping_timeout_ms;
    }
    return m_ping_sent + ping_interval_ms;
}

} // namespace kingcuprudder
