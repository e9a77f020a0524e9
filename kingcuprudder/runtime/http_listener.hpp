#ifndef KINGCUPRUDDER_RUNTIME_HTTP_LISTENER_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_LISTENER_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace httplib
{
class Server;
}

namespace kingcuprudder
{

/// An HTTP server on a fixed number of threads of its own. Each open connection
/// occupies one thread.
class http_listener
{
public:
    using route_installer = std::function<void(httplib::Server&)>;

    /// Whether connections stay open for further calls.
    enum class connection_reuse
    {
        keep_alive,
        /// Each connection serves one call. For callers that call rarely: a
        /// connection that stays open occupies a thread, which wakes up every
        /// 10 ms while the connection is idle.
        single_use,
    };

    /// Listens on "ip:port"; port 0 selects a free port. `install` adds the
    /// handlers before the first connection is accepted. Throws
    /// std::runtime_error when it cannot listen.
    http_listener(const std::string& address, std::size_t threads,
                  const route_installer& install,
                  connection_reuse reuse = connection_reuse::keep_alive);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// The address that it listens on, as "ip:port".
    const std::string& address() const;

    /// Closes the listener and waits for the calls in progress.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
