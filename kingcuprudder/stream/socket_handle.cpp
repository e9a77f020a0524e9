#include <kingcuprudder/runtime/ip_address.hpp>
#include <kingcuprudder/stream/socket_handle.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <unistd.h>

namespace kingcuprudder
{

namespace
{

constexpr int listen_backlog = 128;

[[noreturn]] void fail(const std::string& what)
{
    throw std::runtime_error(what + ": " + std::strerror(errno));
}

sockaddr_in to_native(const std::string& text)
{
    const ip_address address = parse_ip_address(text);
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
    if (inet_pton(AF_INET, address.m_host.c_str(), &native.sin_addr) != 1)
    {
        throw std::runtime_error("not an IP address: '" + address.m_host + "'");
    }
    return native;
}

void enable(const socket_handle& socket, int level, int option)
{
    const int on = 1;
    setsockopt(socket.get(), level, option, &on, sizeof(on));
}

socket_handle new_socket()
{
    socket_handle socket(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket.is_open())
    {
        fail("cannot open a socket");
    }
    return socket;
}

} // namespace

void socket_handle::close()
{
    if (m_descriptor >= 0)
    {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

socket_handle begin_connect(const std::string& address)
{
    const sockaddr_in native = to_native(address);
    socket_handle socket = new_socket();
    enable(socket, IPPROTO_TCP, TCP_NODELAY);
    const int outcome =
        ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&native),
                  sizeof(native));
    if (outcome != 0 && errno != EINPROGRESS)
    {
        fail("cannot connect to " + address);
    }
    return socket;
}

bool connect_succeeded(const socket_handle& socket)
{
    int code = 0;
    socklen_t size = sizeof(code);
    return getsockopt(socket.get(), SOL_SOCKET, SO_ERROR, &code, &size) == 0 &&
           code == 0;
}

socket_handle listen_on(const std::string& address)
{
    const sockaddr_in native = to_native(address);
    socket_handle socket = new_socket();
    enable(socket, SOL_SOCKET, SO_REUSEADDR);
    if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&native),
               sizeof(native)) != 0 ||
        ::listen(socket.get(), listen_backlog) != 0)
    {
        fail("cannot listen on " + address);
    }
    return socket;
}

socket_handle accept_from(const socket_handle& listener)
{
    socket_handle socket(::accept4(listener.get(), nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (socket.is_open())
    {
        enable(socket, IPPROTO_TCP, TCP_NODELAY);
    }
    return socket;
}

std::string local_address(const socket_handle& socket)
{
    sockaddr_in native{};
    socklen_t size = sizeof(native);
    if (getsockname(socket.get(), reinterpret_cast<sockaddr*>(&native),
                    &size) != 0)
    {
        fail("cannot read the address of a socket");
    }
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &native.sin_addr, text, sizeof(text));
    return std::string(text) + ":" + std::to_string(ntohs(native.sin_port));
}

wake_signal::wake_signal() : m_event(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (!m_event.is_open())
    {
        fail("cannot open an event descriptor");
    }
}

void wake_signal::raise()
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is full, and then the descriptor is
    // already readable.
    [[maybe_unused]] const auto written =
        ::write(m_event.get(), &one, sizeof(one));
}

void wake_signal::clear()
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto taken =
        ::read(m_event.get(), &count, sizeof(count));
}

} // namespace kingcuprudder
