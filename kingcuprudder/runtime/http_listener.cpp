#include <kingcuprudder/runtime/http_listener.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <stdexcept>
#include <thread>

namespace kingcuprudder
{

namespace
{

// The largest value of the store has 1 MB; base64 and JSON add a third.
constexpr std::size_t max_body_bytes = std::size_t{1536} * 1024;
constexpr std::size_t max_calls_per_connection = 1'000'000;
// An idle connection occupies a thread, so it is closed early; clients
// reconnect.
constexpr time_t idle_connection_seconds = 5;
constexpr int listen_backlog = 256;
constexpr time_t transfer_timeout_seconds = 5;

/// httplib listens with a backlog of 5 connections. When more processes connect
/// at once, the kernel drops some of their connection attempts, which are
/// repeated only after a second or longer.
class server_with_backlog : public httplib::Server
{
public:
    void raise_backlog() { ::listen(svr_sock_, listen_backlog); }
};

} // namespace

class http_listener::implementation
{
public:
    implementation(const std::string& address, std::size_t threads,
                   const route_installer& install, connection_reuse reuse)
    {
        m_server.new_task_queue = [threads]
        { return new httplib::ThreadPool(threads); };
        m_server.set_payload_max_length(max_body_bytes);
        m_server.set_tcp_nodelay(true);
        m_server.set_keep_alive_max_count(reuse == connection_reuse::keep_alive
                                              ? max_calls_per_connection
                                              : 1);
        m_server.set_keep_alive_timeout(idle_connection_seconds);
        m_server.set_read_timeout(transfer_timeout_seconds);
        m_server.set_write_timeout(transfer_timeout_seconds);
        install(m_server);
        bind(address);
        m_thread = std::thread(
            [this]
            {
                m_server.listen_after_bind();
                m_ended = true;
            });
        // httplib ignores a stop() that comes before its loop has started.
        while (!m_server.is_running() && !m_ended)
        {
            std::this_thread::yield();
        }
    }

    ~implementation() { stop(); }

    void stop()
    {
        if (m_thread.joinable())
        {
            m_server.stop();
            m_thread.join();
        }
    }

    const std::string& address() const { return m_address; }

private:
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
        if (where.m_port <= 0)
        {
            throw std::runtime_error("cannot listen on " + address);
        }
        m_server.raise_backlog();
        m_address = where.m_host + ":" + std::to_string(where.m_port);
    }

    server_with_backlog m_server;
    std::string m_address;
    std::atomic<bool> m_ended = false;
    std::thread m_thread;
};

http_listener::http_listener(const std::string& address, std::size_t threads,
                             const route_installer& install,
                             connection_reuse reuse)
    : m_implementation(
          std::make_unique<implementation>(address, threads, install, reuse))
{
}

http_listener::~http_listener() = default;

const std::string& http_listener::address() const
{
    return m_implementation->address();
}

void http_listener::stop()
{
    m_implementation->stop();
}

} // namespace kingcuprudder
