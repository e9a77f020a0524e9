#ifndef KINGCUPRUDDER_STREAM_STREAM_SERVER_HPP
#define KINGCUPRUDDER_STREAM_STREAM_SERVER_HPP

#include <functional>
#include <memory>
#include <string>

namespace kingcuprudder
{

/// Receives calls of other processes of the system over HTTP/2.
class stream_server
{
public:
    /// Sends the response to one call. May be called later and on any thread.
    using responder = std::function<void(std::string body)>;

    /// Called for each call on the thread of the server; must not block.
    using handler = std::function<void(const std::string& method,
                                       std::string body, responder respond)>;

    /// Listens on "ip:port"; port 0 selects a free port. Throws
    /// std::runtime_error on failure.
    stream_server(const std::string& address, handler handle);
    ~stream_server();
    stream_server(const stream_server&) = delete;
    stream_server& operator=(const stream_server&) = delete;

    /// Returns the address that the server listens on, as "ip:port", with the
    /// actual port.
    const std::string& address() const;

    /// Stops accepting connections and calls; calls in progress are still
    /// answered.
    void begin_shutdown();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
