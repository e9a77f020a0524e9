#include <kingcuprudder/runtime/connection_filter.hpp>

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>

namespace kingcuprudder
{

bool ignore_new_connections(int listening_socket)
{
    // Loads the flags of the TCP header and drops the packet if it opens a
    // connection.
    constexpr std::uint32_t flags_offset = 13;
    constexpr std::uint32_t drop = 0;
    constexpr std::uint32_t keep_all_bytes = 0xffffffff;
    std::array<sock_filter, 4> program{
        sock_filter{BPF_LD | BPF_B | BPF_ABS, 0, 0, flags_offset},
        sock_filter{BPF_JMP | BPF_JSET | BPF_K, 0, 1, TH_SYN},
        sock_filter{BPF_RET | BPF_K, 0, 0, drop},
        sock_filter{BPF_RET | BPF_K, 0, 0, keep_all_bytes}};
    const sock_fprog filter{static_cast<unsigned short>(program.size()),
                            program.data()};
    return ::setsockopt(listening_socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                        sizeof filter) == 0;
}

} // namespace kingcuprudder
