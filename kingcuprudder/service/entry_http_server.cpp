#include <kingcuprudder/runtime/ip_address.hpp>
#include <kingcuprudder/service/entry_http_server.hpp>
#include <kingcuprudder/service/entry_socket_stream.hpp>
#include <kingcuprudder/service/entry_task_queue.hpp>

#include <sys/socket.h>

#include <atomic>
#include <httplib.h>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// The default backlog of cpp-httplib is 5, which loses connections in bursts.
constexpr int listen_backlog = 256;
/// Timeout of a refusal. It is short so that a slow client does not delay the
/// refusals of other clients.
constexpr span refusal_timeout = span(200);

/// Set by handlers that refuse a request without reading its body. The
/// connection must then be closed.
thread_local bool close_after_answer = false;

/// An httplib server with its own connection loop, which closes connections
/// after the current call while the server drains.
class draining_server final : public httplib::Server
{
public:
    explicit draining_server(const http_bounds& bounds) : m_bounds(bounds) {}

    void begin_draining() { m_draining = true; }

private:
    bool process_and_close_socket(socket_t socket) override
    {
        const connection_mode mode = entry_task_queue::current_mode();
        if (mode == connection_mode::drop)
        {
            ::close(socket);
            return false;
        }
        const bool refuse = mode == connection_mode::refuse;
        entry_socket_stream stream(
            socket, refuse ? refusal_timeout : m_bounds.m_transfer_timeout);
        const std::size_t max_calls =
            refuse ? 1 : m_bounds.m_max_calls_per_connection;
        const span idle = refuse ? refusal_timeout : m_bounds.m_idle_timeout;
        for (std::size_t calls = 1; calls <= max_calls; ++calls)
        {
            if (!stream.wait_for_request(idle) ||
                !process_one(stream, calls == max_calls))
            {
                break;
            }
        }
        stream.close();
        return true;
    }

    /// Returns whether the connection stays open.
    bool process_one(entry_socket_stream& stream, bool last)
    {
        close_after_answer = false;
        const bool closing = last || m_draining;
        bool closed_by_client = false;
        const bool processed =
            process_request(stream, closing, closed_by_client, nullptr);
        return processed && !closing && !closed_by_client &&
               !close_after_answer;
    }

    http_bounds m_bounds;
    std::atomic<bool> m_draining = false;
};

} // namespace

class entry_http_server::implementation
{
public:
    implementation(const std::string& address, const http_bounds& bounds,
                   std::string refusal, const route_installer& install)
        : m_bounds(bounds), m_refusal(std::move(refusal)), m_server(bounds)
    {
        configure();
        install(m_server);
        bind(address);
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
                m_ended = true;
            });
        // cpp-httplib ignores a stop() that is called before its loop runs.
        while (!m_server.is_running() && !m_ended)
        {
            std::this_thread::yield();
        }
    }

    ~implementation() { stop(); }

    void stop()
    {
        m_server.begin_draining();
        if (m_thread.joinable())
        {
            m_server.stop();
            m_thread.join();
        }
    }

    void begin_draining() { m_server.begin_draining(); }
    const std::string& address() const { return m_address; }
    std::uint64_t refused() const { return m_refused; }

private:
    void configure()
    {
        m_server.new_task_queue = [this] {
            return new entry_task_queue(m_bounds.m_threads,
                                        m_bounds.m_max_queued);
        };
        m_server.set_payload_max_length(m_bounds.m_max_body_bytes);
        m_server.set_tcp_nodelay(true);
        m_server.set_socket_options(
            [this](socket_t socket)
            {
                const int on = 1;
                ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
                m_listener = socket;
            });
        m_server.set_pre_routing_handler(
            [this](const httplib::Request& request, httplib::Response& response)
            { return refuse_if_over_limits(request, response); });
    }

    httplib::Server::HandlerResponse
    refuse_if_over_limits(const httplib::Request& request,
                          httplib::Response& response)
    {
        using outcome = httplib::Server::HandlerResponse;
        if (entry_task_queue::current_mode() == connection_mode::refuse)
        {
            ++m_refused;
            response.status = 429;
            response.set_content(m_refusal, "application/json");
        }
        else if (body_length(request) > m_bounds.m_max_body_bytes)
        {
            // The error handler adds the body. cpp-httplib itself would read
            // the whole body first, however long.
            response.status = 413;
        }
        else
        {
            return outcome::Unhandled;
        }
        close_after_answer = true;
        response.set_header("Connection", "close");
        return outcome::Handled;
    }

    static std::size_t body_length(const httplib::Request& request)
    {
        return request.get_header_value<std::uint64_t>("Content-Length");
    }

    void bind(const std::string& address)
    {
        ip_address where = parse_ip_address(address);
        if (where.m_port == 0)
        {
            where.m_port = m_server.bind_to_any_port(where.m_host);
        }
        else if (!m_server.bind_to_port(where.m_host, where.m_port))
        {
            where.m_port = -1;
        }
        if (where.m_port <= 0 || ::listen(m_listener, listen_backlog) != 0)
        {
            throw std::runtime_error("cannot listen on " + address);
        }
        m_address = where.m_host + ":" + std::to_string(where.m_port);
    }

    http_bounds m_bounds;
    std::string m_refusal;
    std::string m_address;
    socket_t m_listener = -1;
    std::atomic<std::uint64_t> m_refused = 0;
    draining_server m_server;
    std::atomic<bool> m_ended = false;
    std::thread m_thread;
};

entry_http_server::entry_http_server(const std::string& address,
                                     const http_bounds& bounds,
                                     std::string refusal,
                                     const route_installer& install)
    : m_implementation(std::make_unique<implementation>(
          address, bounds, std::move(refusal), install))
{
}

entry_http_server::~entry_http_server() = default;

const std::string& entry_http_server::address() const
{
    return m_implementation->address();
}

void entry_http_server::begin_draining()
{
    m_implementation->begin_draining();
}

void entry_http_server::stop()
{
    m_implementation->stop();
}

std::uint64_t entry_http_server::refused_connections() const
{
    return m_implementation->refused();
}

} // namespace kingcuprudder
