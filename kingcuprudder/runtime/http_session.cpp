#include <kingcuprudder/runtime/clocks.hpp>
#include <kingcuprudder/runtime/http_session.hpp>

#include <boost/asio/write.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace kingcuprudder
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

const std::string continue_line = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr std::size_t first_read_bytes = 2048;
// For requests that are larger than their first part.
constexpr std::size_t further_read_bytes = std::size_t{8} * 1024;
// After an error response the rest of the request is read and dropped for this
// long, as closing a connection with unread bytes resets it before the caller
// has read the response.
constexpr span drain_time = span(2000);
constexpr std::size_t max_drained_bytes = std::size_t{256} * 1024;
constexpr std::size_t drain_read_bytes = std::size_t{8} * 1024;

http_response plain_response(http::status status)
{
    http_response response;
    response.m_status = static_cast<int>(status);
    response.m_body = "{}";
    response.m_close = true;
    if (status == http::status::service_unavailable)
    {
        response.m_headers["Retry-After"] = "1";
    }
    return response;
}

http::status status_of(http_read_error error)
{
    switch (error)
    {
    case http_read_error::header_too_large:
        return http::status::request_header_fields_too_large;
    case http_read_error::body_too_large:
        return http::status::payload_too_large;
    case http_read_error::framing_too_large:
    case http_read_error::malformed:
        return http::status::bad_request;
    }
    return http::status::bad_request;
}

connection_refusal refusal_of(http_read_error error)
{
    switch (error)
    {
    case http_read_error::header_too_large:
        return connection_refusal::header_too_large;
    case http_read_error::body_too_large:
        return connection_refusal::body_too_large;
    case http_read_error::framing_too_large:
        return connection_refusal::framing_too_large;
    case http_read_error::malformed:
        return connection_refusal::malformed;
    }
    return connection_refusal::malformed;
}

http_read_limits read_limits(const http_server_limits& limits)
{
    http_read_limits result;
    result.m_header_bytes = limits.m_max_header_bytes;
    result.m_body_bytes = limits.m_max_body_bytes;
    return result;
}

} // namespace

http_session::http_session(http_session_environment& environment,
                           connection_id id, tcp::socket socket)
    : m_environment(environment), m_id(id), m_socket(std::move(socket)),
      m_reader(read_limits(environment.m_limits))
{
    error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
}

void http_session::await_request()
{
    m_refusal.reset();
    m_reader.begin_request(read_limits(m_environment.m_limits));
    const bool ends = !m_environment.m_reading;
    set_busy(m_reader.unparsed_bytes() > 0 || (ends && has_arrived()));
    m_since = boottime_now();
    if (ends && !m_busy)
    {
        drain();
        return;
    }
    if (m_reader.unparsed_bytes() > 0)
    {
        receive(m_buffered_since);
        return;
    }
    const asio::mutable_buffer target = m_reader.prepare(first_read_bytes);
    note_usage(connection_phase::idle, m_reader.held_bytes());
    m_timer = m_environment.m_loop.run_after(
        m_environment.m_limits.m_idle_timeout,
        [self = shared_from_this()] { self->end_when_idle(); });
    m_socket.async_read_some(
        target,
        [self = shared_from_this()](const error_code& error, std::size_t bytes)
        {
            if (error)
            {
                self->end_idle_read();
                return;
            }
            self->m_reader.commit(bytes);
            self->receive(self->m_environment.m_earliest_arrival());
        });
}

void http_session::may_be_unread_since(instant when)
{
    if (m_phase != connection_phase::receiving)
    {
        m_unread_since = m_unread_since.value_or(when);
    }
}

void http_session::ends_standstill()
{
    error_code ignored;
    if (m_socket.available(ignored) == 0)
    {
        m_unread_since.reset();
    }
}

void http_session::end_when_idle()
{
    if (!m_busy && m_phase == connection_phase::idle)
    {
        // A request may have arrived, until a look at the socket.
        set_busy(true);
        m_ending = true;
        note_usage(connection_phase::ending, m_reader.held_bytes());
        error_code ignored;
        m_socket.cancel(ignored);
    }
}

void http_session::await_response(std::shared_ptr<pending_request> pending,
                                  span max_wait)
{
    m_pending = std::move(pending);
    if (max_wait > span(0))
    {
        m_timer =
            m_environment.m_loop.run_after(max_wait, [self = shared_from_this()]
                                           { self->refuse_unless_begun(); });
    }
}

void http_session::answer(const pending_request& pending,
                          http_response response)
{
    if (m_pending.get() == &pending)
    {
        send(std::move(response));
    }
}

void http_session::answer_without_handler()
{
    if (m_phase == connection_phase::receiving)
    {
        end_receipt(http::status::service_unavailable);
    }
    refuse_unless_begun();
    if (m_pending)
    {
        send(m_environment.m_abandoned(*m_pending->m_received));
    }
}

void http_session::give_way(connection_refusal cause)
{
    switch (m_phase)
    {
    case connection_phase::idle:
        end_when_idle();
        return;
    case connection_phase::receiving:
        m_environment.m_refused(cause);
        // What it holds is released with the end of the receipt.
        note_usage(connection_phase::ending, 0);
        end_receipt(http::status::service_unavailable);
        return;
    case connection_phase::waiting:
        if (m_pending && !m_pending->m_begun.exchange(true))
        {
            m_environment.m_refused(cause);
            send(m_environment.m_overloaded(*m_pending->m_received));
            return;
        }
        note_usage(connection_phase::handling, m_noted_bytes);
        return;
    case connection_phase::sending:
        m_environment.m_refused(cause);
        close();
        return;
    case connection_phase::handling:
    case connection_phase::ending:
        return;
    }
}

void http_session::refuse_unless_begun()
{
    if (m_pending && !m_pending->m_begun.exchange(true))
    {
        send(m_environment.m_overloaded(*m_pending->m_received));
    }
}

/// Returns whether bytes of a request are in the reader or in the kernel.
bool http_session::has_arrived() const
{
    error_code ignored;
    return m_reader.unparsed_bytes() > 0 || m_socket.available(ignored) > 0;
}

/// Handles the end of a wait for a request that brought none.
void http_session::end_idle_read()
{
    if (!m_ending)
    {
        close();
    }
    else if (has_arrived())
    {
        receive(m_environment.m_earliest_arrival());
    }
    else
    {
        drain();
    }
}

void http_session::receive(instant earliest_arrival)
{
    set_busy(true);
    m_timer = event_loop::timer();
    m_has_header = false;
    m_has_time_limit = false;
    m_since = boottime_now();
    m_begun_at =
        std::min(earliest_arrival, m_unread_since.value_or(earliest_arrival));
    m_unread_since.reset();
    m_buffered_since = m_begun_at;
    note_usage(connection_phase::receiving, m_reader.held_bytes());
    parse();
}

void http_session::parse()
{
    switch (m_reader.read())
    {
    case http_read_state::needs_more:
        await_more();
        return;
    case http_read_state::header_complete:
        m_has_header = true;
        continue_after_header();
        return;
    case http_read_state::complete:
        handle();
        return;
    case http_read_state::failed:
        reject(m_reader.error());
        return;
    }
}

void http_session::continue_after_header()
{
    m_timer = event_loop::timer();
    m_has_time_limit = false;
    if (!m_reader.expects_continue())
    {
        parse();
        return;
    }
    // The caller sends the body only after this line, or after a second of
    // waiting for it.
    asio::async_write(
        m_socket, asio::buffer(continue_line),
        [self = shared_from_this()](const error_code& error, std::size_t)
        { self->handle_read(error, 0); });
}

/// Reads the next part of the request that is being received.
void http_session::await_more()
{
    const asio::mutable_buffer target = m_reader.prepare(further_read_bytes);
    note_usage(connection_phase::receiving, m_reader.held_bytes());
    limit_receipt();
    m_socket.async_read_some(
        target,
        [self = shared_from_this()](const error_code& error, std::size_t bytes)
        { self->handle_read(error, bytes); });
}

void http_session::handle_read(const error_code& error, std::size_t bytes)
{
    if (!m_socket.is_open())
    {
        return;
    }
    if (m_refusal)
    {
        m_reader.discard();
        send(*m_refusal);
        return;
    }
    if (error)
    {
        close();
        return;
    }
    if (bytes > 0)
    {
        m_reader.commit(bytes);
        m_buffered_since = m_environment.m_earliest_arrival();
    }
    parse();
}

/// Ends the receipt at its time limit. The header has a limit of its own.
void http_session::limit_receipt()
{
    if (m_has_time_limit)
    {
        return;
    }
    m_has_time_limit = true;
    const http_server_limits& limits = m_environment.m_limits;
    const span allowed = m_has_header ? limits.m_transfer_timeout
                                      : std::min(limits.m_header_timeout,
                                                 limits.m_transfer_timeout);
    const span left = std::max(span(0), m_since + allowed - boottime_now());
    m_timer = m_environment.m_loop.run_after(
        left,
        [self = shared_from_this()]
        {
            self->m_environment.m_refused(connection_refusal::receipt_timeout);
            self->end_receipt(http::status::request_timeout);
        });
}

/// Refuses the request that is being received. It is not begun, so its caller
/// may repeat it.
void http_session::end_receipt(http::status refusal)
{
    m_refusal = plain_response(refusal);
    error_code ignored;
    m_socket.cancel(ignored);
}

/// Answers a request that cannot be read.
void http_session::reject(http_read_error error)
{
    m_environment.m_refused(refusal_of(error));
    m_reader.discard();
    send(plain_response(status_of(error)));
}

void http_session::handle()
{
    m_timer = event_loop::timer();
    m_keep_alive = m_reader.keep_alive();
    note_usage(connection_phase::waiting, m_reader.held_bytes());
    auto received = std::make_shared<http_request>(m_reader.take_request());
    received->m_begun_at = m_begun_at;
    received->m_received_at = boottime_now();
    m_environment.m_dispatch(shared_from_this(), received);
}

void http_session::send(http_response response)
{
    m_pending.reset();
    const bool closing = response.m_close || !m_keep_alive || m_ending ||
                         m_environment.m_closing;
    m_response = {};
    m_response.version(11);
    m_response.result(static_cast<unsigned>(response.m_status));
    m_response.set(http::field::content_type, response.m_content_type);
    for (const auto& [name, value] : response.m_headers)
    {
        m_response.set(name, value);
    }
    m_response.keep_alive(!closing);
    m_response.body() = std::move(response.m_body);
    m_response.prepare_payload();
    note_usage(connection_phase::sending,
               m_reader.held_bytes() + m_response.body().capacity());
    close_later(m_environment.m_limits.m_transfer_timeout,
                connection_refusal::send_timeout);
    http::async_write(m_socket, m_response,
                      [self = shared_from_this(),
                       closing](const error_code& error, std::size_t)
                      {
                          self->m_response = {};
                          if (error)
                          {
                              self->close();
                          }
                          else if (closing)
                          {
                              self->drain();
                          }
                          else
                          {
                              self->await_request();
                          }
                      });
}

/// Waits until the caller has closed the connection, and drops what it sends.
void http_session::drain()
{
    set_busy(false);
    m_since = boottime_now();
    m_reader.discard();
    note_usage(connection_phase::ending, m_reader.held_bytes());
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_timer = m_environment.m_loop.run_after(
        drain_time, [self = shared_from_this()] { self->close(); });
    read_and_drop();
}

void http_session::read_and_drop()
{
    std::vector<char>& target = m_environment.m_dropped_bytes;
    target.resize(drain_read_bytes);
    m_socket.async_read_some(
        asio::buffer(target),
        [self = shared_from_this()](const error_code& error, std::size_t bytes)
        {
            self->m_dropped_bytes += bytes;
            if (error)
            {
                self->close();
            }
            else if (self->m_dropped_bytes > max_drained_bytes)
            {
                self->m_environment.m_refused(
                    connection_refusal::too_much_after_end);
                self->close();
            }
            else
            {
                self->read_and_drop();
            }
        });
}

void http_session::close_later(span time, connection_refusal cause)
{
    m_timer =
        m_environment.m_loop.run_after(time,
                                       [self = shared_from_this(), cause]
                                       {
                                           self->m_environment.m_refused(cause);
                                           self->close();
                                       });
}

void http_session::set_busy(bool busy)
{
    if (busy != m_busy)
    {
        m_busy = busy;
        m_environment.m_count_request(busy);
    }
}

void http_session::note_usage(connection_phase phase, std::size_t bytes)
{
    m_phase = phase;
    m_noted_bytes = bytes;
    m_environment.m_usage_changed(*this, {phase, bytes, m_since});
}

void http_session::close()
{
    set_busy(false);
    m_pending.reset();
    m_timer = event_loop::timer();
    error_code ignored;
    m_socket.close(ignored);
    m_environment.m_closed(*this);
}

} // namespace kingcuprudder
