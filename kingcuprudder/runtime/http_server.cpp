#include <kingcuprudder/runtime/clocks.hpp>
#include <kingcuprudder/runtime/connection_filter.hpp>
#include <kingcuprudder/runtime/http_server.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>
#include <kingcuprudder/runtime/standstill_watch.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <set>
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
constexpr int listen_backlog = 256;
// The receipt of a request that is refused is cancelled this often.
constexpr span refusal_retry = span(50);
constexpr std::size_t first_read_bytes = 2048;
constexpr std::uint32_t max_header_bytes = 16 * 1024;
// Buffers of idle connections above this size are released.
constexpr std::size_t kept_buffer_bytes = std::size_t{8} * 1024;
constexpr span accept_retry = span(100);
// Connections that were begun before the listener ignores new ones are
// completed within this time, which is several round trips.
constexpr span handshake_time = span(100);
// After an error response the rest of the request is read and dropped for this
// long, as closing a connection with unread bytes resets it before the caller
// has read the response.
constexpr span drain_time = span(2000);
// Over the limit by this part, connections are closed that only wait for their
// caller to close them.
constexpr std::size_t draining_share = 8;
constexpr std::size_t drain_bytes = std::size_t{8} * 1024;

int hex_value(char digit)
{
    const int low = std::tolower(static_cast<unsigned char>(digit));
    return std::isdigit(low) != 0     ? low - '0'
           : low >= 'a' && low <= 'f' ? low - 'a' + 10
                                      : -1;
}

/// Returns the path of a request target, without the query and with its
/// percent-encoded bytes decoded.
std::string decoded_path(std::string_view target)
{
    constexpr int hex_base = 16;
    target = target.substr(0, target.find('?'));
    std::string path;
    for (std::size_t at = 0; at < target.size(); ++at)
    {
        if (target[at] == '%' && at + 2 < target.size() &&
            hex_value(target[at + 1]) >= 0 && hex_value(target[at + 2]) >= 0)
        {
            path += static_cast<char>(hex_value(target[at + 1]) * hex_base +
                                      hex_value(target[at + 2]));
            at += 2;
        }
        else
        {
            path += target[at];
        }
    }
    return path;
}

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char each)
                   { return static_cast<char>(std::tolower(each)); });
    return lower;
}

http_response plain_response(http::status status)
{
    http_response response;
    response.m_status = static_cast<int>(status);
    response.m_body = "{}";
    response.m_close = true;
    return response;
}

http_response service_unavailable(const http_request&)
{
    http_response response = plain_response(http::status::service_unavailable);
    response.m_headers["Retry-After"] = "1";
    response.m_close = false;
    return response;
}

http_response outcome_unknown(const http_request&)
{
    return plain_response(http::status::gateway_timeout);
}

} // namespace

std::string http_request::header(const std::string& name) const
{
    const auto found = m_headers.find(name);
    return found == m_headers.end() ? "" : found->second;
}

class http_server::implementation
    : public std::enable_shared_from_this<http_server::implementation>
{
public:
    implementation(event_loop& loop, const std::string& address,
                   const http_server_limits& limits, handler handle,
                   handler overloaded, handler abandoned)
        : m_loop(loop), m_context(loop.context()), m_limits(limits),
          m_handle(std::move(handle)),
          m_overloaded(overloaded ? std::move(overloaded)
                                  : handler(service_unavailable)),
          m_abandoned(abandoned ? std::move(abandoned)
                                : handler(outcome_unknown)),
          m_acceptor(m_context)
    {
        const ip_address parsed = parse_ip_address(address);
        const tcp::endpoint where(asio::ip::make_address(parsed.m_host),
                                  static_cast<unsigned short>(parsed.m_port));
        m_acceptor.open(where.protocol());
        m_acceptor.set_option(tcp::acceptor::reuse_address(true));
        m_acceptor.bind(where);
        m_acceptor.listen(listen_backlog);
        m_address = parsed.m_host + ":" +
                    std::to_string(m_acceptor.local_endpoint().port());
        if (m_limits.m_handler_threads > 0)
        {
            m_threads.emplace(m_limits.m_handler_threads);
        }
    }

    void begin()
    {
        asio::post(m_context, [self = shared_from_this()] { self->accept(); });
    }

    void watch_standstill(std::function<void(span)> noticed)
    {
        asio::post(m_context,
                   [self = shared_from_this(), noticed = std::move(noticed)]
                   {
                       self->m_standstill = std::make_unique<standstill_watch>(
                           self->m_loop,
                           [owner = self.get(), noticed](instant last_at_work)
                           {
                               noticed(boottime_now() - last_at_work);
                               owner->note_standstill(last_at_work);
                           });
                   });
    }

    void begin_closing() { m_closing = true; }

    void stop_accepting()
    {
        asio::post(m_context,
                   [self = shared_from_this()]
                   {
                       ignore_new_connections(self->m_acceptor.native_handle());
                       self->m_close_listener = self->m_loop.run_after(
                           handshake_time,
                           [self] { self->close_listener(true); });
                   });
    }

    void answer_open_requests()
    {
        asio::post(m_context,
                   [self = shared_from_this()]
                   {
                       const auto connections = self->m_connections;
                       for (const auto& each : connections)
                       {
                           each->answer_without_handler();
                       }
                   });
    }

    bool wait_for_answers(span timeout)
    {
        std::unique_lock lock(m_open_mutex);
        return m_answered.wait_for(
            lock, std::chrono::milliseconds(timeout.count()),
            [this] { return m_stopped_reading && m_open_requests == 0; });
    }

    std::size_t open_requests()
    {
        std::lock_guard lock(m_open_mutex);
        return m_open_requests;
    }

    void stop_reading()
    {
        asio::post(m_context,
                   [self = shared_from_this()]
                   {
                       self->close_listener(false);
                       self->m_closing = true;
                       self->m_reading = false;
                       const auto connections = self->m_connections;
                       for (const auto& each : connections)
                       {
                           each->end_when_idle();
                       }
                       std::lock_guard lock(self->m_open_mutex);
                       self->m_stopped_reading = true;
                       self->m_answered.notify_all();
                   });
    }

    void join_handlers()
    {
        if (m_threads)
        {
            m_threads->stop();
            m_threads->join();
        }
    }

    const std::string& address() const { return m_address; }

private:
    /// A request that waits for a handler thread or is being handled.
    struct pending_request
    {
        explicit pending_request(std::shared_ptr<const http_request> received)
            : m_received(std::move(received))
        {
        }

        const std::shared_ptr<const http_request> m_received;
        /// Set by the handler thread or by who refuses the request, whichever
        /// is first.
        std::atomic<bool> m_begun = false;
    };

    /// A connection of a caller, which serves one request at a time.
    class session : public std::enable_shared_from_this<session>
    {
    public:
        session(implementation& owner, tcp::socket socket)
            : m_owner(owner), m_socket(std::move(socket))
        {
            error_code ignored;
            m_socket.set_option(tcp::no_delay(true), ignored);
        }

        void await_request()
        {
            m_refusal.reset();
            const bool ends = !m_owner.m_reading;
            set_busy(m_buffer.size() > 0 || (ends && has_arrived()));
            m_idle_since = std::chrono::steady_clock::now();
            if (ends && !m_busy)
            {
                drain();
                return;
            }
            m_parser.emplace();
            m_parser->body_limit(m_owner.m_limits.m_max_body_bytes);
            m_parser->header_limit(max_header_bytes);
            if (m_buffer.size() > 0)
            {
                receive(m_buffered_since);
                return;
            }
            if (m_buffer.capacity() > kept_buffer_bytes)
            {
                m_buffer.shrink_to_fit();
            }
            m_timer = m_owner.m_loop.run_after(m_owner.m_limits.m_idle_timeout,
                                               [self = shared_from_this()]
                                               { self->end_when_idle(); });
            m_socket.async_read_some(
                m_buffer.prepare(first_read_bytes),
                [self = shared_from_this()](const error_code& error,
                                            std::size_t bytes)
                {
                    if (!error)
                    {
                        self->m_buffer.commit(bytes);
                        self->receive(self->m_owner.earliest_arrival());
                        return;
                    }
                    self->end_idle_read();
                });
        }

        bool busy() const { return m_busy; }
        std::chrono::steady_clock::time_point idle_since() const
        {
            return m_idle_since;
        }

        bool draining() const { return m_draining; }

        /// Notes that the next request may have arrived since then. The one
        /// that is being received began before.
        void may_be_unread_since(instant when)
        {
            if (!m_receiving)
            {
                m_unread_since = m_unread_since.value_or(when);
            }
        }

        /// Notes that what is not in the kernel now arrives later.
        void ends_standstill()
        {
            error_code ignored;
            if (m_socket.available(ignored) == 0)
            {
                m_unread_since.reset();
            }
        }

        /// Ends the connection unless it has a request. One that has arrived
        /// and is not read yet is answered.
        void end_when_idle()
        {
            if (!m_busy && !m_draining)
            {
                // A request may have arrived, until a look at the socket.
                set_busy(true);
                m_ending = true;
                error_code ignored;
                m_socket.cancel(ignored);
            }
        }

        /// Begins the wait for the response to the request. It is refused if
        /// no thread begins it within the limit; 0 for no limit.
        void await_response(std::shared_ptr<pending_request> pending,
                            span max_wait)
        {
            m_pending = std::move(pending);
            if (max_wait > span(0))
            {
                m_timer = m_owner.m_loop.run_after(
                    max_wait, [self = shared_from_this()]
                    { self->refuse_unless_begun(); });
            }
        }

        /// Sends the response unless the request was answered without it.
        void answer(const pending_request& pending, http_response response)
        {
            if (m_pending.get() == &pending)
            {
                send(std::move(response));
            }
        }

        /// Answers the request that is being received, waits for a thread or is
        /// being handled.
        void answer_without_handler()
        {
            if (m_receiving)
            {
                end_receipt(http::status::service_unavailable);
            }
            refuse_unless_begun();
            if (m_pending)
            {
                send(m_owner.m_abandoned(*m_pending->m_received));
            }
        }

    private:
        void refuse_unless_begun()
        {
            if (m_pending && !m_pending->m_begun.exchange(true))
            {
                send(m_owner.m_overloaded(*m_pending->m_received));
            }
        }

        /// Returns whether bytes of a request are in a buffer or in the kernel.
        bool has_arrived() const
        {
            error_code ignored;
            return m_buffer.size() > 0 || m_socket.available(ignored) > 0;
        }

        /// Handles the end of a wait for a request that brought none.
        void end_idle_read()
        {
            if (!m_ending)
            {
                close();
            }
            else if (has_arrived())
            {
                receive(m_owner.earliest_arrival());
            }
            else
            {
                drain();
            }
        }

        void receive(instant earliest_arrival)
        {
            set_busy(true);
            m_receiving = true;
            m_begun_at = std::min(earliest_arrival,
                                  m_unread_since.value_or(earliest_arrival));
            m_unread_since.reset();
            m_buffered_since = m_begun_at;
            m_buffered_bytes = m_buffer.size();
            m_parsed_bytes = 0;
            m_timer = m_owner.m_loop.run_after(
                m_owner.m_limits.m_transfer_timeout, [self = shared_from_this()]
                { self->end_receipt(http::status::request_timeout); });
            http::async_read_header(
                m_socket, m_buffer, *m_parser,
                [self = shared_from_this()](const error_code& error,
                                            std::size_t parsed)
                {
                    self->m_parsed_bytes += parsed;
                    error ? self->reject(error) : self->receive_body();
                });
        }

        void receive_body()
        {
            if (boost::beast::iequals(m_parser->get()[http::field::expect],
                                      "100-continue"))
            {
                // The caller sends the body only after this line, or after a
                // second of waiting for it.
                asio::async_write(
                    m_socket, asio::buffer(continue_line),
                    [self = shared_from_this()](const error_code& error,
                                                std::size_t)
                    { error ? self->close() : self->receive_rest(); });
                return;
            }
            receive_rest();
        }

        void receive_rest()
        {
            http::async_read(m_socket, m_buffer, *m_parser,
                             [self = shared_from_this()](
                                 const error_code& error, std::size_t parsed)
                             {
                                 self->m_parsed_bytes += parsed;
                                 error ? self->reject(error) : self->handle();
                             });
        }

        /// Notes since when the bytes behind the request, which are those of
        /// the next one, may have arrived: with the last read, if the request
        /// needed a further one.
        void note_buffered_bytes()
        {
            if (m_parsed_bytes + m_buffer.size() > m_buffered_bytes)
            {
                m_buffered_since = m_owner.earliest_arrival();
            }
        }

        /// Refuses the request that is being received. It is not begun, so its
        /// caller may repeat it.
        void end_receipt(http::status refusal)
        {
            m_refusal = refusal;
            error_code ignored;
            m_socket.cancel(ignored);
            // Nothing is cancelled if a read is complete and not handled yet.
            m_timer = m_owner.m_loop.run_after(
                refusal_retry, [self = shared_from_this(), refusal]
                { self->end_receipt(refusal); });
        }

        /// Answers a request that could not be read, if the caller is there.
        void reject(const error_code& error)
        {
            if (m_refusal && error == asio::error::operation_aborted)
            {
                send(plain_response(*m_refusal));
            }
            else if (error == http::error::body_limit)
            {
                send(plain_response(http::status::payload_too_large));
            }
            else if (error == http::error::header_limit)
            {
                send(plain_response(
                    http::status::request_header_fields_too_large));
            }
            else if (error.category() ==
                         make_error_code(http::error::bad_method).category() &&
                     error != http::error::end_of_stream &&
                     error != http::error::partial_message)
            {
                send(plain_response(http::status::bad_request));
            }
            else
            {
                close();
            }
        }

        void handle()
        {
            if (m_refusal)
            {
                send(plain_response(*m_refusal));
                return;
            }
            m_receiving = false;
            note_buffered_bytes();
            m_timer = event_loop::timer();
            m_keep_alive = m_parser->get().keep_alive();
            auto received = std::make_shared<http_request>();
            received->m_method = std::string(m_parser->get().method_string());
            received->m_path =
                decoded_path(std::string_view(m_parser->get().target().data(),
                                              m_parser->get().target().size()));
            for (const auto& field : m_parser->get())
            {
                received->m_headers.insert_or_assign(
                    lower_case(std::string(field.name_string())),
                    std::string(field.value()));
            }
            received->m_body = std::move(m_parser->get().body());
            received->m_begun_at = m_begun_at;
            received->m_received_at = boottime_now();
            m_parser.reset();
            m_owner.dispatch(shared_from_this(), received);
        }

        friend class implementation;

        void send(http_response response)
        {
            m_receiving = false;
            m_pending.reset();
            const bool closing = response.m_close || !m_keep_alive ||
                                 m_ending || m_owner.m_closing;
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
            limit(m_owner.m_limits.m_transfer_timeout);
            http::async_write(m_socket, m_response,
                              [self = shared_from_this(),
                               closing](const error_code& error, std::size_t)
                              {
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

        void drain()
        {
            set_busy(false);
            m_draining = true;
            error_code ignored;
            m_socket.shutdown(tcp::socket::shutdown_send, ignored);
            limit(drain_time);
            read_and_drop();
        }

        void read_and_drop()
        {
            m_buffer.consume(m_buffer.size());
            m_socket.async_read_some(
                m_buffer.prepare(drain_bytes),
                [self = shared_from_this()](const error_code& error,
                                            std::size_t)
                { error ? self->close() : self->read_and_drop(); });
        }

        void limit(span time)
        {
            m_timer = m_owner.m_loop.run_after(time, [self = shared_from_this()]
                                               { self->close(); });
        }

        void set_busy(bool busy)
        {
            if (busy != m_busy)
            {
                m_busy = busy;
                m_owner.count_request(busy);
            }
        }

        void close()
        {
            set_busy(false);
            m_pending.reset();
            m_timer = event_loop::timer();
            error_code ignored;
            m_socket.close(ignored);
            m_owner.m_connections.erase(shared_from_this());
        }

        implementation& m_owner;
        tcp::socket m_socket;
        event_loop::timer m_timer;
        boost::beast::flat_buffer m_buffer;
        std::optional<http::request_parser<http::string_body>> m_parser;
        http::response<http::string_body> m_response;
        /// The request that has no response yet.
        std::shared_ptr<pending_request> m_pending;
        bool m_busy = false;
        /// No request is read any more; what arrives is dropped.
        bool m_draining = false;
        bool m_receiving = false;
        /// Why the receipt of a request was ended.
        std::optional<http::status> m_refusal;
        /// The wait for a request was ended.
        bool m_ending = false;
        bool m_keep_alive = false;
        std::chrono::steady_clock::time_point m_idle_since;
        instant m_begun_at;
        /// A request that is not read yet may have arrived since then.
        std::optional<instant> m_unread_since;
        /// The earliest time at which what is in the buffer may have arrived.
        instant m_buffered_since;
        /// The bytes in the buffer when the receipt of the request began.
        std::size_t m_buffered_bytes = 0;
        /// The bytes of the request that were parsed.
        std::size_t m_parsed_bytes = 0;
    };

    void accept()
    {
        m_acceptor.async_accept(
            [self = shared_from_this()](const error_code& error,
                                        tcp::socket socket)
            {
                if (!error)
                {
                    self->begin_session(std::move(socket));
                }
                if (!self->m_acceptor.is_open())
                {
                    return;
                }
                if (error)
                {
                    // Most likely the descriptors are used up for the moment.
                    self->accept_later();
                    return;
                }
                self->accept();
            });
    }

    void begin_session(tcp::socket socket)
    {
        make_room();
        const auto made = std::make_shared<session>(*this, std::move(socket));
        m_connections.insert(made);
        if (m_standing_since)
        {
            made->may_be_unread_since(*m_standing_since);
        }
        made->await_request();
    }

    /// Returns the earliest time at which what is read now may have arrived.
    instant earliest_arrival()
    {
        return m_standstill ? m_standstill->check() : boottime_now();
    }

    /// Marks all connections whose next request may have arrived since the
    /// server was last at work: those that are open, and those that the kernel
    /// has accepted. Reads that were complete before, and those connections,
    /// are handled before the end of the mark, as the loop keeps their order.
    void note_standstill(instant last_at_work)
    {
        m_standing_since = last_at_work;
        if (m_reading && m_acceptor.is_open())
        {
            accept_queued();
        }
        for (const auto& each : m_connections)
        {
            each->may_be_unread_since(last_at_work);
        }
        asio::post(m_context,
                   [self = shared_from_this()]
                   {
                       self->m_standing_since.reset();
                       for (const auto& each : self->m_connections)
                       {
                           each->ends_standstill();
                       }
                   });
    }

    /// Counts a request that has begun to arrive, or one that is over: its
    /// response was written or its connection was closed.
    void count_request(bool begun)
    {
        std::lock_guard lock(m_open_mutex);
        begun ? ++m_open_requests : --m_open_requests;
        if (m_open_requests == 0)
        {
            m_answered.notify_all();
        }
    }

    /// Accepts the connections that the kernel holds, as closing the listener
    /// resets them. Returns why it ends, which is would_block if there are no
    /// more.
    error_code accept_queued()
    {
        error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error || error == asio::error::connection_aborted)
        {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error)
            {
                begin_session(std::move(socket));
            }
        }
        return error;
    }

    /// Closes the listener, later if the descriptors are used up for the moment
    /// and there is time.
    void close_listener(bool may_wait)
    {
        if (!m_acceptor.is_open())
        {
            return;
        }
        if (accept_queued() != asio::error::would_block && may_wait)
        {
            m_close_listener =
                m_loop.run_after(accept_retry, [self = shared_from_this()]
                                 { self->close_listener(true); });
            return;
        }
        error_code ignored;
        m_acceptor.close(ignored);
    }

    /// Runs the handler. Its exceptions must not end a thread.
    http_response handle(const http_request& received) const
    {
        try
        {
            return m_handle(received);
        }
        catch (const std::exception& error)
        {
            m_loop.on_error()(error.what());
            return plain_response(http::status::internal_server_error);
        }
    }

    void accept_later()
    {
        m_retry = m_loop.run_after(accept_retry,
                                   [self = shared_from_this()]
                                   {
                                       if (self->m_acceptor.is_open())
                                       {
                                           self->accept();
                                       }
                                   });
    }

    /// Ends the connection that was idle longest if there are too many. Each
    /// stays open until its caller closes it, for a time that is limited.
    void make_room()
    {
        const std::size_t limit = m_limits.m_max_connections;
        if (m_connections.size() < limit)
        {
            return;
        }
        if (const auto oldest =
                longest_idle([](const session& each)
                             { return !each.busy() && !each.draining(); }))
        {
            oldest->end_when_idle();
        }
        if (m_connections.size() >= limit + limit / draining_share + 1)
        {
            if (const auto oldest = longest_idle([](const session& each)
                                                 { return each.draining(); }))
            {
                oldest->close();
            }
        }
    }

    std::shared_ptr<session>
    longest_idle(const std::function<bool(const session&)>& applies) const
    {
        std::shared_ptr<session> oldest;
        for (const auto& each : m_connections)
        {
            if (applies(*each) &&
                (!oldest || each->idle_since() < oldest->idle_since()))
            {
                oldest = each;
            }
        }
        return oldest;
    }

    void dispatch(const std::shared_ptr<session>& connection,
                  const std::shared_ptr<const http_request>& received)
    {
        if (!m_threads)
        {
            connection->send(handle(*received));
            return;
        }
        if (m_requests >= m_limits.m_max_requests)
        {
            connection->send(m_overloaded(*received));
            return;
        }
        ++m_requests;
        const auto pending = std::make_shared<pending_request>(received);
        const bool waits = m_requests > m_limits.m_handler_threads;
        connection->await_response(pending, waits ? m_limits.m_max_thread_wait
                                                  : span(0));
        asio::post(*m_threads, [self = shared_from_this(), connection, pending]
                   { self->run_handler(connection, pending); });
    }

    /// Handles the request on a handler thread unless it was refused.
    void run_handler(const std::shared_ptr<session>& connection,
                     const std::shared_ptr<pending_request>& pending)
    {
        std::shared_ptr<http_response> response;
        if (!pending->m_begun.exchange(true))
        {
            response =
                std::make_shared<http_response>(handle(*pending->m_received));
        }
        asio::post(m_context,
                   [self = shared_from_this(), connection, pending, response]
                   {
                       --self->m_requests;
                       if (response)
                       {
                           connection->answer(*pending, std::move(*response));
                       }
                   });
    }

    event_loop& m_loop;
    asio::io_context& m_context;
    http_server_limits m_limits;
    handler m_handle;
    handler m_overloaded;
    handler m_abandoned;
    tcp::acceptor m_acceptor;
    event_loop::timer m_retry;
    event_loop::timer m_close_listener;
    std::string m_address;
    /// Each response closes its connection.
    std::atomic<bool> m_closing = false;
    std::mutex m_open_mutex;
    std::condition_variable m_answered;
    std::size_t m_open_requests = 0;
    bool m_stopped_reading = false;
    // The members below are used on the event loop's thread only.
    bool m_reading = true;
    std::unique_ptr<standstill_watch> m_standstill;
    /// Set from the notice of a standstill until what arrived before is known.
    std::optional<instant> m_standing_since;
    std::size_t m_requests = 0;
    std::set<std::shared_ptr<session>> m_connections;
    std::optional<asio::thread_pool> m_threads;
};

http_server::http_server(event_loop& loop, const std::string& address,
                         const http_server_limits& limits, handler handle,
                         handler overloaded, handler abandoned)
    : m_implementation(std::make_shared<implementation>(
          loop, address, limits, std::move(handle), std::move(overloaded),
          std::move(abandoned)))
{
    m_implementation->begin();
}

http_server::~http_server()
{
    m_implementation->join_handlers();
}

const std::string& http_server::address() const
{
    return m_implementation->address();
}

void http_server::answer_open_requests()
{
    m_implementation->answer_open_requests();
}

bool http_server::wait_for_answers(span timeout)
{
    return m_implementation->wait_for_answers(timeout);
}

std::size_t http_server::open_requests() const
{
    return m_implementation->open_requests();
}

void http_server::watch_standstill(std::function<void(span length)> noticed)
{
    m_implementation->watch_standstill(std::move(noticed));
}

void http_server::begin_closing()
{
    m_implementation->begin_closing();
}

void http_server::stop_accepting()
{
    m_implementation->stop_accepting();
}

void http_server::stop_reading()
{
    m_implementation->stop_reading();
}

} // namespace kingcuprudder
