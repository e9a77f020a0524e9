#include <kingcuprudder/runtime/deadline_socket.hpp>
#include <kingcuprudder/runtime/http_client.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <mutex>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t max_idle_connections = 8;
// Bounds the header, the line of a chunk and the trailers of an answer.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
// An answer may take longer than the timeout while its bytes keep coming, but
// not longer than this many timeouts.
constexpr int max_answer_timeouts = 10;
constexpr std::uint32_t max_header_bytes = std::uint32_t{16} * 1024;

/// An open connection.
struct client_connection
{
    deadline_socket m_socket;
    boost::beast::flat_buffer m_buffer{max_unparsed_bytes};
};

http_failure not_sent(const error_code& error)
{
    return {http_delivery::not_sent, error == asio::error::timed_out
                                         ? http_failure_cause::timed_out
                                         : http_failure_cause::refused};
}

http_failure unanswered(const error_code& error)
{
    if (error == asio::error::timed_out)
    {
        return {http_delivery::unanswered, http_failure_cause::timed_out};
    }
    if (error == http::error::body_limit ||
        error == http::error::header_limit ||
        error == http::error::buffer_overflow)
    {
        return {http_delivery::unanswered, http_failure_cause::too_large};
    }
    return {http_delivery::unanswered, http_failure_cause::closed};
}

} // namespace

class http_client::implementation
{
public:
    implementation(const std::string& address, span connect_timeout,
                   std::size_t max_body_bytes)
        : m_host(address), m_address(parse_ip_address(address)),
          m_connect_timeout(connect_timeout), m_max_body_bytes(max_body_bytes)
    {
    }

    http_outcome call(const http_client_request& request, span timeout)
    {
        error_code error;
        std::unique_ptr<client_connection> connection = acquire(error);
        if (error)
        {
            drop_idle_connections();
            return not_sent(error);
        }
        connection->m_socket.limit(timeout, timeout * max_answer_timeouts);
        http::request<http::string_body> message = message_of(request);
        http::write(connection->m_socket, message, error);
        http::response_parser<http::string_body> answer;
        answer.body_limit(m_max_body_bytes);
        answer.header_limit(max_header_bytes);
        if (!error)
        {
            // The header by itself, as Beast reserves memory for an announced
            // body over the limit if a part of it comes with the header.
            http::read_header(connection->m_socket, connection->m_buffer,
                              answer, error);
        }
        if (!error && !answer.is_done())
        {
            http::read(connection->m_socket, connection->m_buffer, answer,
                       error);
        }
        if (error)
        {
            drop_idle_connections();
            return unanswered(error);
        }
        if (answer.keep_alive())
        {
            release(std::move(connection));
        }
        return http_answer{static_cast<int>(answer.get().result_int()),
                           std::move(answer.get().body())};
    }

private:
    http::request<http::string_body>
    message_of(const http_client_request& request) const
    {
        http::request<http::string_body> message;
        message.method_string(request.m_method);
        message.target(request.m_target);
        message.version(11);
        message.set(http::field::host, m_host);
        if (!request.m_body.empty())
        {
            message.set(http::field::content_type, "application/json");
            message.body() = request.m_body;
        }
        message.prepare_payload();
        return message;
    }

    /// Returns an idle connection or a new one. Sets the error if that cannot
    /// be opened.
    std::unique_ptr<client_connection> acquire(error_code& error)
    {
        if (auto idle = take_idle_connection())
        {
            return idle;
        }
        auto opened = std::make_unique<client_connection>();
        opened->m_socket.limit(m_connect_timeout, m_connect_timeout);
        opened->m_socket.connect(m_address.m_host, m_address.m_port, error);
        return opened;
    }

    std::unique_ptr<client_connection> take_idle_connection()
    {
        std::lock_guard lock(m_mutex);
        while (!m_idle.empty())
        {
            std::unique_ptr<client_connection> taken = std::move(m_idle.back());
            m_idle.pop_back();
            if (taken->m_socket.is_idle_and_open())
            {
                return taken;
            }
        }
        return nullptr;
    }

    void release(std::unique_ptr<client_connection> connection)
    {
        // A large answer must not leave its buffer with an idle connection.
        connection->m_buffer.shrink_to_fit();
        std::lock_guard lock(m_mutex);
        if (m_idle.size() < max_idle_connections)
        {
            m_idle.push_back(std::move(connection));
        }
    }

    void drop_idle_connections()
    {
        std::lock_guard lock(m_mutex);
        m_idle.clear();
    }

    const std::string m_host;
    const ip_address m_address;
    const span m_connect_timeout;
    const std::size_t m_max_body_bytes;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<client_connection>> m_idle;
};

http_client::http_client(const std::string& address, span connect_timeout,
                         std::size_t max_body_bytes)
    : m_implementation(std::make_unique<implementation>(
          address, connect_timeout, max_body_bytes))
{
}

http_client::~http_client() = default;

http_outcome http_client::call(const http_client_request& request, span timeout)
{
    return m_implementation->call(request, timeout);
}

} // namespace kingcuprudder
