#ifndef KINGCUPRUDDER_STREAM_STREAM_SERVER_HPP
#define KINGCUPRUDDER_STREAM_STREAM_SERVER_HPP

#include <functional>
#include <memory>
#include <string>

namespace kingcuprudder
{

/// Takes calls of other processes of the project over HTTP/2.
class stream_server
{
public:
    /// Sends the answer to one call; may be called later and from any thread.
    using responder = std::function<void(std::string body)>;

    /// Called on the server's own thread for each call; must not block.
    using handler = std::function<void(const std::string& method,
                                       std::string body, responder respond)>;

    /// Listens on "ip:port"; port 0 takes a free one. Throws std::runtime_error
    /// when it cannot.
    stream_server(const std::string& address, handler handle);
    ~stream_server();
    stream_server(const stream_server&) = delete;
    stream_server& operator=(const stream_server&) = delete;

    /// The address in use, as "ip:port"; tells the port taken for port 0.
    const std::string& address() const;

    /// Takes no new connections or calls; calls in progress are answered.
    void begin_shutdown();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
