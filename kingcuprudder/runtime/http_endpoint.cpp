#include <kingcuprudder/runtime/http_endpoint.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <boost/asio/connect.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

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

constexpr std::size_t max_idle_connections = 4;
// A worker's report names up to 500 completions and all running tasks, which
// takes less than 100 KB.
constexpr std::uint64_t max_answer_bytes = std::uint64_t{512} * 1024;
// Bounds the line of a chunk and the trailers of an answer.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;

/// An open connection. The buffer keeps bytes that follow an answer.
struct connection
{
    explicit connection(asio::io_context& context) : m_socket(context) {}

    tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer{max_unparsed_bytes};
};

/// Returns whether the peer has neither closed an idle connection nor sent
/// something on it.
bool is_idle_and_open(tcp::socket& socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, sizeof byte,
                  MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Returns why a connection could not be opened.
http_failure_cause cause_of_connect_error(const error_code& error)
{
    if (error == asio::error::connection_refused)
    {
        return http_failure_cause::refused;
    }
    if (error == asio::error::connection_reset)
    {
        return http_failure_cause::closed;
    }
    return error == asio::error::timed_out ? http_failure_cause::timed_out
                                           : http_failure_cause::unreachable;
}

/// Returns why a call on an open connection was not answered.
http_failure_cause cause_of_call_error(const error_code& error)
{
    if (error == asio::error::timed_out)
    {
        return http_failure_cause::timed_out;
    }
    if (error == http::error::body_limit ||
        error == http::error::header_limit ||
        error == http::error::buffer_overflow)
    {
        return http_failure_cause::too_large;
    }
    const bool ended_early = error == http::error::end_of_stream ||
                             error == http::error::partial_message;
    const bool wrong_content =
        error.category() ==
            http::make_error_code(http::error::bad_version).category() &&
        !ended_early;
    return wrong_content ? http_failure_cause::unreadable
                         : http_failure_cause::closed;
}

} // namespace

class http_endpoint::implementation
    : public std::enable_shared_from_this<http_endpoint::implementation>
{
public:
    implementation(event_loop& loop, const std::string& address,
                   span connect_timeout, send_check may_send)
        : m_loop(loop), m_context(loop.context()),
          m_connect_timeout(connect_timeout), m_may_send(std::move(may_send))
    {
        const ip_address parsed = parse_ip_address(address);
        m_peer = tcp::endpoint(asio::ip::make_address(parsed.m_host),
                               static_cast<unsigned short>(parsed.m_port));
        m_host = address;
    }

    void post(const http_post& request, span timeout, completion done)
    {
        const auto call = std::make_shared<call_in_progress>(
            *this, request, timeout, std::move(done));
        if (m_cancelled)
        {
            call->fail_later();
            return;
        }
        m_calls.insert(call);
        call->begin(take_idle_connection());
    }

    void cancel()
    {
        m_cancelled = true;
        m_idle.clear();
        const auto calls = m_calls;
        for (const auto& call : calls)
        {
            call->abort(http_failure_cause::cancelled);
        }
    }

private:
    /// A call from its start to its completion.
    class call_in_progress
        : public std::enable_shared_from_this<call_in_progress>
    {
    public:
        call_in_progress(implementation& owner, const http_post& request,
                         span timeout, completion done)
            : m_owner(owner.shared_from_this()), m_timeout(timeout),
              m_done(std::move(done))
        {
            m_request.method(http::verb::post);
            m_request.target(request.m_path);
            m_request.version(11);
            m_request.set(http::field::host, owner.m_host);
            m_request.set(http::field::content_type, "application/json");
            for (const auto& [name, value] : request.m_headers)
            {
                m_request.set(name, value);
            }
            m_request.body() = request.m_body;
            m_request.prepare_payload();
            m_parser.body_limit(max_answer_bytes);
        }

        void begin(std::unique_ptr<connection> open)
        {
            if (open)
            {
                m_connection = std::move(open);
                send();
                return;
            }
            m_connection = std::make_unique<connection>(m_owner->m_context);
            limit(m_owner->m_connect_timeout);
            m_connection->m_socket.async_connect(
                m_owner->m_peer,
                [self = shared_from_this()](const error_code& error)
                {
                    if (error)
                    {
                        self->finish(http_delivery::not_sent,
                                     cause_of_connect_error(error));
                        return;
                    }
                    self->send();
                });
        }

        /// Completes the call, which was not sent, from the event loop.
        void fail_later()
        {
            asio::post(m_owner->m_context,
                       [self = shared_from_this()] {
                           self->finish(http_delivery::not_sent,
                                        http_failure_cause::cancelled);
                       });
        }

        /// Closes the connection, which completes the pending operation.
        void abort(http_failure_cause cause)
        {
            if (!m_abort_cause)
            {
                m_abort_cause = cause;
            }
            error_code ignored;
            if (m_connection)
            {
                m_connection->m_socket.close(ignored);
            }
        }

    private:
        void send()
        {
            if (!m_owner->m_may_send())
            {
                fail_later();
                return;
            }
            error_code ignored;
            m_connection->m_socket.set_option(tcp::no_delay(true), ignored);
            limit(m_timeout);
            http::async_write(m_connection->m_socket, m_request,
                              [self = shared_from_this()](
                                  const error_code& error, std::size_t)
                              {
                                  if (error)
                                  {
                                      self->finish_unanswered(error);
                                      return;
                                  }
                                  self->receive();
                              });
        }

        /// Reads the header by itself, as Beast reserves memory for an
        /// announced body over the limit if a part of it comes with the header.
        void receive()
        {
            http::async_read_header(m_connection->m_socket,
                                    m_connection->m_buffer, m_parser,
                                    [self = shared_from_this()](
                                        const error_code& error, std::size_t)
                                    {
                                        if (error)
                                        {
                                            self->finish_unanswered(error);
                                            return;
                                        }
                                        self->receive_body();
                                    });
        }

        void receive_body()
        {
            http::async_read(m_connection->m_socket, m_connection->m_buffer,
                             m_parser,
                             [self = shared_from_this()](
                                 const error_code& error, std::size_t)
                             {
                                 if (error)
                                 {
                                     self->finish_unanswered(error);
                                     return;
                                 }
                                 self->finish_answered();
                             });
        }

        void finish_answered()
        {
            const bool reusable = m_parser.get().keep_alive();
            http_answer answer{static_cast<int>(m_parser.get().result_int()),
                               std::move(m_parser.get().body())};
            m_timer = event_loop::timer();
            m_owner->release(shared_from_this(),
                             reusable ? std::move(m_connection) : nullptr);
            m_done(answer);
        }

        void finish_unanswered(const error_code& error)
        {
            finish(http_delivery::unanswered, cause_of_call_error(error));
        }

        /// Completes the call without an answer. The given cause applies unless
        /// the connection was closed on this side.
        void finish(http_delivery delivery, http_failure_cause cause)
        {
            m_timer = event_loop::timer();
            m_owner->m_calls.erase(shared_from_this());
            m_owner->m_idle.clear();
            m_done(http_failure{delivery, m_abort_cause.value_or(cause)});
        }

        /// Aborts the call unless the limit is renewed or the call ends first.
        void limit(span time)
        {
            m_timer = m_owner->m_loop.run_after(
                time, [self = shared_from_this()]
                { self->abort(http_failure_cause::timed_out); });
        }

        std::shared_ptr<implementation> m_owner;
        span m_timeout;
        completion m_done;
        /// Why the connection was closed on this side.
        std::optional<http_failure_cause> m_abort_cause;
        event_loop::timer m_timer;
        std::unique_ptr<connection> m_connection;
        http::request<http::string_body> m_request;
        http::response_parser<http::string_body> m_parser;
    };

    std::unique_ptr<connection> take_idle_connection()
    {
        while (!m_idle.empty())
        {
            std::unique_ptr<connection> taken = std::move(m_idle.back());
            m_idle.pop_back();
            if (is_idle_and_open(taken->m_socket))
            {
                return taken;
            }
        }
        return nullptr;
    }

    void release(const std::shared_ptr<call_in_progress>& call,
                 std::unique_ptr<connection> reusable)
    {
        m_calls.erase(call);
        if (reusable && !m_cancelled && m_idle.size() < max_idle_connections)
        {
            m_idle.push_back(std::move(reusable));
        }
    }

    event_loop& m_loop;
    asio::io_context& m_context;
    span m_connect_timeout;
    send_check m_may_send;
    tcp::endpoint m_peer;
    std::string m_host;
    std::vector<std::unique_ptr<connection>> m_idle;
    std::set<std::shared_ptr<call_in_progress>> m_calls;
    bool m_cancelled = false;
};

http_endpoint::http_endpoint(event_loop& loop, const std::string& address,
                             span connect_timeout, send_check may_send)
    : m_implementation(std::make_shared<implementation>(
          loop, address, connect_timeout, std::move(may_send)))
{
}

http_endpoint::~http_endpoint()
{
    m_implementation->cancel();
}

void http_endpoint::post(const http_post& request, span timeout,
                         completion done)
{
    m_implementation->post(request, timeout, std::move(done));
}

void http_endpoint::cancel()
{
    m_implementation->cancel();
}

} // namespace kingcuprudder
