#ifndef KINGCUPRUDDER_STREAM_SOCKET_HANDLE_HPP
#define KINGCUPRUDDER_STREAM_SOCKET_HANDLE_HPP

#include <string>
#include <utility>

namespace kingcuprudder
{

/// Owns a file descriptor and closes it.
class socket_handle
{
public:
    socket_handle() = default;
    explicit socket_handle(int descriptor) : m_descriptor(descriptor) {}
    ~socket_handle() { close(); }
    socket_handle(socket_handle&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    socket_handle& operator=(socket_handle&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }

    int get() const { return m_descriptor; }
    bool is_open() const { return m_descriptor >= 0; }
    void close();

private:
    int m_descriptor = -1;
};

/// Starts a non-blocking connect to "ip:port". Throws std::runtime_error if it
/// fails immediately.
socket_handle begin_connect(const std::string& address);

/// Returns whether a connect has succeeded. Valid once the socket is writable.
bool connect_succeeded(const socket_handle& socket);

/// Creates a non-blocking listener on "ip:port"; port 0 selects a free port.
/// Throws std::runtime_error on failure.
socket_handle listen_on(const std::string& address);

/// Accepts a pending connection. Returns a closed handle if there is none.
socket_handle accept_from(const socket_handle& listener);

/// Returns the address that a socket is bound to, as "ip:port".
std::string local_address(const socket_handle& socket);

/// Wakes a thread that waits in poll().
class wake_signal
{
public:
    wake_signal();

    /// Returns the descriptor to poll for reading.
    int descriptor() const { return m_event.get(); }

    /// Makes the descriptor readable. Safe to call from any thread.
    void raise();

    /// Makes the descriptor unreadable again.
    void clear();

private:
    socket_handle m_event;
};

} // namespace kingcuprudder

#endif
