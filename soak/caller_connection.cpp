#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <soak/caller_connection.hpp>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

namespace kingcuprudder::soak
{

namespace
{

constexpr span connect_timeout = span(500);
constexpr std::size_t read_bytes = 4096;
const std::string header_end = "\r\n\r\n";

/// Waits until the events of poll() occur. Returns false on timeout.
bool wait_for(int socket, short events, span timeout)
{
    pollfd waiting{socket, events, 0};
    return ::poll(&waiting, 1, static_cast<int>(timeout.count())) == 1;
}

bool connect_to(int socket, const std::string& address)
{
    const ip_address parsed = parse_ip_address(address);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<in_port_t>(parsed.m_port));
    ::inet_pton(AF_INET, parsed.m_host.c_str(), &peer.sin_addr);
    const int flags = ::fcntl(socket, F_GETFL);
    ::fcntl(socket, F_SETFL, flags | O_NONBLOCK);
    int error = 0;
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&peer),
                  sizeof peer) != 0)
    {
        error = errno;
    }
    if (error == EINPROGRESS)
    {
        socklen_t size = sizeof error;
        if (!wait_for(socket, POLLOUT, connect_timeout) ||
            ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        {
            error = ETIMEDOUT;
        }
    }
    ::fcntl(socket, F_SETFL, flags);
    constexpr int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return error == 0;
}

/// Returns the value of a header field, or "" if it is absent.
std::string_view field(std::string_view header, std::string_view name)
{
    const std::string start = "\r\n" + std::string(name) + ": ";
    const std::size_t found = header.find(start);
    if (found == std::string_view::npos)
    {
        return "";
    }
    const std::string_view value = header.substr(found + start.size());
    return value.substr(0, value.find("\r\n"));
}

} // namespace

caller_connection::caller_connection(const std::string& address)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)),
      m_connected(connect_to(m_socket, address))
{
}

caller_connection::~caller_connection()
{
    ::close(m_socket);
}

bool caller_connection::is_ended() const
{
    char byte = 0;
    const ssize_t got =
        ::recv(m_socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN);
}

bool caller_connection::send(std::string_view bytes) const
{
    while (!bytes.empty())
    {
        const ssize_t sent =
            ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
        {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::optional<caller_response> caller_connection::read_response(span timeout)
{
    const instant end = node::boottime_now() + timeout;
    while (true)
    {
        if (auto response = take_response())
        {
            return response;
        }
        const span left = end - node::boottime_now();
        if (left <= span(0) || !wait_for(m_socket, POLLIN, left))
        {
            m_error = "timeout";
            return std::nullopt;
        }
        std::array<char, read_bytes> bytes{};
        const ssize_t got = ::recv(m_socket, bytes.data(), bytes.size(), 0);
        if (got <= 0)
        {
            m_error = got == 0 ? "end of stream" : std::strerror(errno);
            return std::nullopt;
        }
        m_received.append(bytes.data(), static_cast<std::size_t>(got));
    }
}

std::optional<caller_response> caller_connection::take_response()
{
    const std::size_t end = m_received.find(header_end);
    if (end == std::string::npos)
    {
        return std::nullopt;
    }
    const std::string_view header(m_received.data(), end + 2);
    const std::size_t length = static_cast<std::size_t>(
        std::atoi(std::string(field(header, "Content-Length")).c_str()));
    const std::size_t size = end + header_end.size() + length;
    if (m_received.size() < size)
    {
        return std::nullopt;
    }
    caller_response response;
    response.m_status =
        std::atoi(std::string(header.substr(header.find(' ') + 1, 3)).c_str());
    response.m_closes = field(header, "Connection") == "close";
    response.m_body = m_received.substr(end + header_end.size(), length);
    m_received.erase(0, size);
    return response;
}

std::string job_request_text(std::string_view method, const std::string& id,
                             const std::string& body)
{
    return std::string(method) + " /q/" + id +
           " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + header_end + body;
}

std::string job_body(int task_ms)
{
    return R"({"spec":")" + std::to_string(task_ms) +
           R"(","steps":[{"count":1,"cpu":100,"memMb":1,"gpu":1}]})";
}

} // namespace kingcuprudder::soak
