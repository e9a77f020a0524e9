#include <kingcuprudder/service/entry_socket_stream.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace kingcuprudder
{

namespace
{

/// Limit of the input that is discarded before closing. Unread input makes the
/// kernel reset the connection on close, which can destroy the response before
/// the peer has read it.
constexpr std::size_t max_discarded_bytes = std::size_t{256} * 1024;
constexpr span discard_timeout = span(200);

void describe(const sockaddr_storage& address, std::string& ip, int& port)
{
    if (address.ss_family != AF_INET)
    {
        return;
    }
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&address);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &v4->sin_addr, text.data(), text.size());
    ip = text.data();
    port = ntohs(v4->sin_port);
}

} // namespace

entry_socket_stream::entry_socket_stream(socket_t socket, span transfer_timeout)
    : m_socket(socket), m_transfer_timeout(transfer_timeout)
{
}

bool entry_socket_stream::poll_for(short events, span timeout) const
{
    pollfd wanted{m_socket, events, 0};
    int ready = 0;
    do
    {
        ready = ::poll(&wanted, 1, static_cast<int>(timeout.count()));
    } while (ready < 0 && errno == EINTR);
    return ready > 0;
}

bool entry_socket_stream::wait_for_request(span timeout)
{
    if (m_begin < m_end)
    {
        return true;
    }
    if (!poll_for(POLLIN, timeout))
    {
        return false;
    }
    const ssize_t received =
        ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
    if (received <= 0)
    {
        return false;
    }
    m_begin = 0;
    m_end = static_cast<std::size_t>(received);
    return true;
}

void entry_socket_stream::close()
{
    ::shutdown(m_socket, SHUT_WR);
    std::size_t discarded = m_end - m_begin;
    while (discarded < max_discarded_bytes && poll_for(POLLIN, discard_timeout))
    {
        const ssize_t received =
            ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (received <= 0)
        {
            break;
        }
        discarded += static_cast<std::size_t>(received);
    }
    ::close(m_socket);
}

bool entry_socket_stream::is_readable() const
{
    return m_begin < m_end || poll_for(POLLIN, m_transfer_timeout);
}

bool entry_socket_stream::is_writable() const
{
    return poll_for(POLLOUT, m_transfer_timeout);
}

ssize_t entry_socket_stream::read(char* ptr, size_t size)
{
    if (m_begin == m_end)
    {
        if (!wait_for_request(m_transfer_timeout))
        {
            return -1;
        }
    }
    const std::size_t count = std::min(size, m_end - m_begin);
    std::copy_n(m_buffer.data() + m_begin, count, ptr);
    m_begin += count;
    return static_cast<ssize_t>(count);
}

ssize_t entry_socket_stream::write(const char* ptr, size_t size)
{
    if (!is_writable())
    {
        return -1;
    }
    return ::send(m_socket, ptr, size, MSG_NOSIGNAL);
}

void entry_socket_stream::get_remote_ip_and_port(std::string& ip,
                                                 int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (::getpeername(m_socket, reinterpret_cast<sockaddr*>(&address),
                      &length) == 0)
    {
        describe(address, ip, port);
    }
}

void entry_socket_stream::get_local_ip_and_port(std::string& ip,
                                                int& port) const
{
    sockaddr_storage address{};
    socklen_t length = sizeof(address);
    if (::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address),
                      &length) == 0)
    {
        describe(address, ip, port);
    }
}

} // namespace kingcuprudder
