#ifndef UNIT_TESTS_RUNTIME_RAW_CONNECTION_HPP
#define UNIT_TESTS_RUNTIME_RAW_CONNECTION_HPP

#include <kingcuprudder/runtime/ip_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <string>
#include <string_view>
#include <unistd.h>

namespace kingcuprudder
{

/// A TCP connection that sends any bytes, also those that no HTTP client sends.
class raw_connection
{
public:
    explicit raw_connection(const std::string& address)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const ip_address parsed = parse_ip_address(address);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<in_port_t>(parsed.m_port));
        ::inet_pton(AF_INET, parsed.m_host.c_str(), &peer.sin_addr);
        constexpr timeval receive_timeout{5, 0};
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
                     sizeof receive_timeout);
        m_connected =
            ::connect(m_socket, reinterpret_cast<const sockaddr*>(&peer),
                      sizeof peer) == 0;
    }
    ~raw_connection() { ::close(m_socket); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    bool connected() const { return m_connected; }

    /// Returns whether all bytes were sent.
    bool send(std::string_view bytes) const
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

    /// Reads until the text is there, the peer closes or 5 s have passed.
    std::string read_until(std::string_view text) const
    {
        std::string read;
        char bytes[4096];
        while (read.find(text) == std::string::npos)
        {
            const ssize_t got = ::recv(m_socket, bytes, sizeof bytes, 0);
            if (got <= 0)
            {
                break;
            }
            read.append(bytes, static_cast<std::size_t>(got));
        }
        return read;
    }

private:
    int m_socket;
    bool m_connected = false;
};

} // namespace kingcuprudder

#endif
