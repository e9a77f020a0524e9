#ifndef UNIT_TESTS_RUNTIME_RAW_LISTENER_HPP
#define UNIT_TESTS_RUNTIME_RAW_LISTENER_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <string>
#include <string_view>
#include <unistd.h>

namespace kingcuprudder
{

/// How a raw_listener ends a connection.
enum class connection_end
{
    close,
    reset,
};

/// Listens on a port of the loopback address. It accepts no connection by
/// itself; one connection waits for accept, further ones are not answered.
class raw_listener
{
public:
    raw_listener() : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        ::inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
        socklen_t length = sizeof local;
        ::bind(m_socket, reinterpret_cast<const sockaddr*>(&local), length);
        ::listen(m_socket, 0);
        ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&local), &length);
        m_address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }
    ~raw_listener() { ::close(m_socket); }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    const std::string& address() const { return m_address; }

    /// Accepts a connection, reads until the text is there or 5 s have passed,
    /// sends the answer and ends the connection.
    void serve_one(std::string_view text, std::string_view answer,
                   connection_end end) const
    {
        const int accepted = ::accept(m_socket, nullptr, nullptr);
        constexpr timeval receive_timeout{5, 0};
        ::setsockopt(accepted, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                     sizeof receive_timeout);
        std::string read;
        char bytes[4096];
        while (read.find(text) == std::string::npos)
        {
            const ssize_t got = ::recv(accepted, bytes, sizeof bytes, 0);
            if (got <= 0)
            {
                break;
            }
            read.append(bytes, static_cast<std::size_t>(got));
        }
        if (!answer.empty())
        {
            ::send(accepted, answer.data(), answer.size(), MSG_NOSIGNAL);
        }
        if (end == connection_end::reset)
        {
            constexpr linger discard{1, 0};
            ::setsockopt(accepted, SOL_SOCKET, SO_LINGER, &discard,
                         sizeof discard);
        }
        ::close(accepted);
    }

private:
    int m_socket;
    std::string m_address;
};

} // namespace kingcuprudder

#endif
