#include <arpa/inet.h>
#include <demo/free_port.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <stdexcept>
#include <unistd.h>

namespace kingcuprudder::demo
{

namespace
{

constexpr unsigned first_port = 15000;
constexpr unsigned port_count = 16000;

// Concurrent processes start their search at different ports.
constexpr unsigned ports_per_process = 97;

bool can_listen(unsigned port)
{
    const int socket_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket_fd < 0)
    {
        return false;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = ::bind(socket_fd, reinterpret_cast<sockaddr*>(&address),
                              sizeof address) == 0;
    ::close(socket_fd);
    return bound;
}

} // namespace

std::string free_loopback_address()
{
    static std::atomic<unsigned> next{static_cast<unsigned>(::getpid()) *
                                      ports_per_process};
    for (unsigned tries = 0; tries < port_count; ++tries)
    {
        const unsigned port = first_port + next.fetch_add(1) % port_count;
        if (can_listen(port))
        {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error("no free port on the loopback interface");
}

} // namespace kingcuprudder::demo
