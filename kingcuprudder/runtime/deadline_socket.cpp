#include <kingcuprudder/runtime/clocks.hpp>
#include <kingcuprudder/runtime/deadline_socket.hpp>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace kingcuprudder
{

namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

error_code last_error()
{
    return {errno, boost::system::system_category()};
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

deadline_socket::~deadline_socket()
{
    if (m_socket >= 0)
    {
        ::close(m_socket);
    }
}

void deadline_socket::limit(span silence, span whole)
{
    m_max_silence = silence;
    m_last_progress = boottime_now();
    m_deadline = m_last_progress + whole;
}

void deadline_socket::connect(const std::string& host, int port,
                              error_code& error)
{
    const asio::ip::tcp::endpoint peer(asio::ip::make_address(host, error),
                                       static_cast<unsigned short>(port));
    if (error)
    {
        return;
    }
    m_socket = ::socket(peer.protocol().family(),
                        SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (m_socket < 0)
    {
        error = last_error();
        return;
    }
    constexpr int enabled = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(m_socket, peer.data(), static_cast<socklen_t>(peer.size())) ==
        0)
    {
        return;
    }
    if (errno != EINPROGRESS)
    {
        error = last_error();
        return;
    }
    if (!wait_for(POLLOUT, error))
    {
        return;
    }
    int result = 0;
    socklen_t length = sizeof result;
    ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &result, &length);
    error = {result, boost::system::system_category()};
}

bool deadline_socket::is_idle_and_open() const
{
    char byte = 0;
    return ::recv(m_socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           would_block();
}

std::size_t deadline_socket::receive(const asio::mutable_buffer& target,
                                     error_code& error)
{
    while (true)
    {
        const ssize_t got = ::recv(m_socket, target.data(), target.size(), 0);
        if (got > 0)
        {
            m_last_progress = boottime_now();
            error = {};
            return static_cast<std::size_t>(got);
        }
        if (got == 0)
        {
            error = asio::error::eof;
            return 0;
        }
        if (would_block() ? !wait_for(POLLIN, error) : errno != EINTR)
        {
            error = error ? error : last_error();
            return 0;
        }
    }
}

std::size_t deadline_socket::transmit(iovec* parts, std::size_t count,
                                      error_code& error)
{
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = count;
    while (true)
    {
        const ssize_t sent = ::sendmsg(m_socket, &message, MSG_NOSIGNAL);
        if (sent >= 0)
        {
            m_last_progress = boottime_now();
            error = {};
            return static_cast<std::size_t>(sent);
        }
        if (would_block() ? !wait_for(POLLOUT, error) : errno != EINTR)
        {
            error = error ? error : last_error();
            return 0;
        }
    }
}

bool deadline_socket::wait_for(short events, error_code& error) const
{
    while (true)
    {
        // The time that is left is measured anew after an interruption.
        const span left =
            std::min(m_last_progress + m_max_silence, m_deadline) -
            boottime_now();
        if (left <= span(0))
        {
            error = asio::error::timed_out;
            return false;
        }
        pollfd awaited{m_socket, events, 0};
        const int ready = ::poll(&awaited, 1, static_cast<int>(left.count()));
        if (ready > 0)
        {
            error = {};
            return true;
        }
        if (ready < 0 && errno != EINTR)
        {
            error = last_error();
            return false;
        }
    }
}

} // namespace kingcuprudder
