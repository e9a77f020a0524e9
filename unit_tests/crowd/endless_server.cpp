#include "endless_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <unistd.h>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr int listen_backlog = 64;
// Blocking calls end after this time, to look for the end of the test.
constexpr timeval call_timeout{0, 100'000};

void limit_calls(int socket)
{
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &call_timeout,
                 sizeof call_timeout);
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &call_timeout,
                 sizeof call_timeout);
}

} // namespace

endless_server::endless_server(endless_response response)
    : m_response(std::move(response)),
      m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in local{};
    local.sin_family = AF_INET;
    ::inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
    socklen_t length = sizeof local;
    ::bind(m_socket, reinterpret_cast<const sockaddr*>(&local), length);
    ::listen(m_socket, listen_backlog);
    ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&local), &length);
    m_address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    limit_calls(m_socket);
    m_thread = std::thread([this] { accept_connections(); });
}

endless_server::~endless_server()
{
    m_stopped = true;
    m_thread.join();
    for (std::thread& each : m_connections)
    {
        each.join();
    }
    ::close(m_socket);
}

void endless_server::accept_connections()
{
    while (!m_stopped)
    {
        const int accepted = ::accept(m_socket, nullptr, nullptr);
        if (accepted >= 0)
        {
            limit_calls(accepted);
            m_connections.emplace_back([this, accepted] { serve(accepted); });
        }
    }
}

void endless_server::serve(int connection) const
{
    char bytes[4096];
    ssize_t got = -1;
    while (!m_stopped && got < 0)
    {
        got = ::recv(connection, bytes, sizeof bytes, 0);
    }
    const std::string* text = &m_response.m_opening;
    std::size_t sent = 0;
    while (!m_stopped && got > 0)
    {
        const ssize_t written = ::send(connection, text->data() + sent,
                                       text->size() - sent, MSG_NOSIGNAL);
        if (written < 0 && errno != EAGAIN)
        {
            break;
        }
        sent += written < 0 ? 0 : static_cast<std::size_t>(written);
        if (sent == text->size())
        {
            text = &m_response.m_endless;
            sent = 0;
        }
    }
    ::close(connection);
}

} // namespace kingcuprudder
