#include "hostile_crowd.hpp"

#include <kingcuprudder/runtime/ip_address.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <memory>
#include <poll.h>
#include <string_view>
#include <unistd.h>

namespace kingcuprudder
{

namespace
{

constexpr int poll_timeout_ms = 20;

/// One connection of the crowd.
class hostile_connection
{
public:
    hostile_connection(const crowd_script& script, const std::string& address,
                       int number)
        : m_script(script),
          m_opening(script.m_make_opening ? script.m_make_opening(number)
                                          : script.m_opening),
          m_socket(
              ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        const ip_address parsed = parse_ip_address(address);
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<in_port_t>(parsed.m_port));
        ::inet_pton(AF_INET, parsed.m_host.c_str(), &peer.sin_addr);
        ::connect(m_socket, reinterpret_cast<const sockaddr*>(&peer),
                  sizeof peer);
    }
    ~hostile_connection() { ::close(m_socket); }
    hostile_connection(const hostile_connection&) = delete;
    hostile_connection& operator=(const hostile_connection&) = delete;

    pollfd awaited() const
    {
        const bool sends =
            m_sent < m_opening.size() || !m_script.m_endless.empty();
        return {m_socket,
                static_cast<short>((sends ? POLLOUT : 0) |
                                   (m_script.m_reads ? POLLIN : 0)),
                0};
    }

    /// Returns whether the connection is still open.
    bool handle(short events)
    {
        if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0)
        {
            return false;
        }
        return ((events & POLLIN) == 0 || read()) &&
               ((events & POLLOUT) == 0 || write());
    }

private:
    bool read() const
    {
        char bytes[4096];
        return ::recv(m_socket, bytes, sizeof bytes, 0) != 0;
    }

    bool write()
    {
        const bool opens = m_sent < m_opening.size();
        const std::string& text = opens ? m_opening : m_script.m_endless;
        std::size_t& sent = opens ? m_sent : m_repeated;
        const ssize_t written = ::send(m_socket, text.data() + sent,
                                       text.size() - sent, MSG_NOSIGNAL);
        if (written < 0)
        {
            return errno == EAGAIN;
        }
        sent += static_cast<std::size_t>(written);
        if (!opens && sent == text.size())
        {
            sent = 0;
        }
        return true;
    }

    const crowd_script& m_script;
    const std::string m_opening;
    const int m_socket;
    std::size_t m_sent = 0;
    /// The bytes of the endless text that were sent since its last beginning.
    std::size_t m_repeated = 0;
};

} // namespace

hostile_crowd::hostile_crowd(const crowd_script& script,
                             const std::vector<std::string>& addresses)
    : m_thread([this, script, addresses] { run(script, addresses); })
{
}

hostile_crowd::~hostile_crowd()
{
    m_stopped = true;
    m_thread.join();
}

void hostile_crowd::run(const crowd_script& script,
                        const std::vector<std::string>& addresses)
{
    const std::size_t count =
        static_cast<std::size_t>(script.m_connections) * addresses.size();
    std::vector<std::unique_ptr<hostile_connection>> connections(count);
    std::vector<pollfd> awaited(count);
    int number = 0;
    while (!m_stopped)
    {
        for (std::size_t at = 0; at < count; ++at)
        {
            if (!connections[at])
            {
                connections[at] = std::make_unique<hostile_connection>(
                    script, addresses[at % addresses.size()], number++);
            }
            awaited[at] = connections[at]->awaited();
        }
        ::poll(awaited.data(), awaited.size(), poll_timeout_ms);
        for (std::size_t at = 0; at < count; ++at)
        {
            if (!connections[at]->handle(awaited[at].revents))
            {
                connections[at].reset();
            }
        }
    }
}

} // namespace kingcuprudder
