#ifndef KINGCUPRUDDER_SERVICE_ENTRY_SOCKET_STREAM_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_SOCKET_STREAM_HPP

#include <kingcuprudder/base/time.hpp>

#include <array>
#include <cstddef>
#include <httplib.h>
#include <string>

namespace kingcuprudder
{

/// The cpp-httplib stream of one accepted connection. Waits with poll(2), so
/// that an idle connection uses no CPU time.
class entry_socket_stream final : public httplib::Stream
{
public:
    entry_socket_stream(socket_t socket, span transfer_timeout);

    /// Waits for the first byte of the next request. Returns false on timeout
    /// or if the peer has closed the connection.
    bool wait_for_request(span timeout);

    /// Closes the connection so that the peer can still read the last response,
    /// even if it has sent input that was not read.
    void close();

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char* ptr, size_t size) override;
    ssize_t write(const char* ptr, size_t size) override;
    void get_remote_ip_and_port(std::string& ip, int& port) const override;
    void get_local_ip_and_port(std::string& ip, int& port) const override;
    socket_t socket() const override { return m_socket; }

private:
    bool poll_for(short events, span timeout) const;

    socket_t m_socket;
    span m_transfer_timeout;
    std::array<char, 4096> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace kingcuprudder

#endif
