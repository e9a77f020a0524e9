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

/// A bounded HTTP server on threads of its own. One thread is held for each
/// open connection.
class http_listener
{
public:
    using route_installer = std::function<void(httplib::Server&)>;

    /// Whether connections stay open for further calls.
    enum class connection_reuse
    {
        keep_alive,
        /// Each call has its own, for callers that call rarely: a kept one
        /// holds a thread, which wakes up every 10 ms while it is idle.
        single_use,
    };

    /// Listens on "ip:port"; port 0 takes a free one. The route_installer adds
    /// the handlers before the first connection is taken. Throws
    /// std::runtime_error when it cannot listen.
    http_listener(const std::string& address, std::size_t threads,
                  const route_installer& install,
                  connection_reuse reuse = connection_reuse::keep_alive);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// The address in use, as "ip:port".
    const std::string& address() const;

    /// Closes the listener and waits for the calls in progress.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
