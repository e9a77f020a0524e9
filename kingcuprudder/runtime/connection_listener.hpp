#ifndef KINGCUPRUDDER_RUNTIME_CONNECTION_LISTENER_HPP
#define KINGCUPRUDDER_RUNTIME_CONNECTION_LISTENER_HPP

#include <kingcuprudder/runtime/event_loop.hpp>

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace kingcuprudder
{

/// Accepts TCP connections on an event loop. Used on the loop's thread only,
/// except for the constructor and address().
class connection_listener
    : public std::enable_shared_from_this<connection_listener>
{
public:
    using accepted_hook = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Listens on "ip:port"; port 0 selects a free port. The kernel holds at
    /// most `receive_buffer_bytes` of each connection that were not read.
    /// Throws std::exception when it cannot listen.
    connection_listener(event_loop& loop, const std::string& address,
                        std::size_t receive_buffer_bytes,
                        accepted_hook on_accepted);

    /// The address that it listens on, as "ip:port".
    const std::string& address() const { return m_address; }
    bool is_open() const { return m_acceptor.is_open(); }

    /// Accepts connections until the listener is closed. Keeps the owner of the
    /// hook as long.
    void accept(const std::shared_ptr<void>& owner);
    /// Accepts the connections that the kernel holds, as closing the listener
    /// resets them. Returns whether there are no more.
    bool accept_queued();
    /// Ignores new attempts to connect, and closes the listener soon after,
    /// when it has accepted all connections that were begun before.
    void stop_accepting();
    /// Closes the listener, later if the descriptors are used up for the moment
    /// and it may wait.
    void close(bool may_wait);

private:
    void accept_later(const std::shared_ptr<void>& owner);

    event_loop& m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    accepted_hook m_on_accepted;
    std::string m_address;
    event_loop::timer m_retry;
    event_loop::timer m_close;
};

} // namespace kingcuprudder

#endif
