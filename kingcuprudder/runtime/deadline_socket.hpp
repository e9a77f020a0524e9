#ifndef KINGCUPRUDDER_RUNTIME_DEADLINE_SOCKET_HPP
#define KINGCUPRUDDER_RUNTIME_DEADLINE_SOCKET_HPP

#include <kingcuprudder/base/time.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/detail/throw_error.hpp>
#include <boost/system/error_code.hpp>
#include <sys/uio.h>

#include <array>
#include <cstddef>
#include <string>

namespace kingcuprudder
{

/// A TCP connection whose operations block until a deadline, or until the peer
/// was silent for too long, on the clock of boottime_now(): time in which the
/// process was stopped or suspended counts. It is a SyncStream of Boost.Beast.
/// Not thread-safe.
class deadline_socket
{
public:
    deadline_socket() = default;
    ~deadline_socket();
    deadline_socket(const deadline_socket&) = delete;
    deadline_socket& operator=(const deadline_socket&) = delete;

    /// Operations fail with timed_out when nothing was sent or received for
    /// this long, and after the whole time.
    void limit(span silence, span whole);
    /// Opens a connection to a numeric IP address.
    void connect(const std::string& host, int port,
                 boost::system::error_code& error);
    /// Returns whether the peer has neither closed the connection nor sent
    /// something that was not read.
    bool is_idle_and_open() const;

    /// Reads what is there, up to the size of the first buffer.
    template <class MutableBuffers>
    std::size_t read_some(const MutableBuffers& buffers,
                          boost::system::error_code& error)
    {
        return receive(*boost::asio::buffer_sequence_begin(buffers), error);
    }

    /// Like the above. Throws boost::system::system_error.
    template <class MutableBuffers>
    std::size_t read_some(const MutableBuffers& buffers)
    {
        boost::system::error_code error;
        const std::size_t bytes = read_some(buffers, error);
        boost::asio::detail::throw_error(error);
        return bytes;
    }

    /// Writes the first bytes of the buffers.
    template <class ConstBuffers>
    std::size_t write_some(const ConstBuffers& buffers,
                           boost::system::error_code& error)
    {
        std::array<iovec, max_written_buffers> parts{};
        std::size_t count = 0;
        for (auto each = boost::asio::buffer_sequence_begin(buffers);
             each != boost::asio::buffer_sequence_end(buffers) &&
             count < parts.size();
             ++each)
        {
            const boost::asio::const_buffer part(*each);
            // sendmsg() does not write to the memory.
            parts[count++] = {const_cast<void*>(part.data()), part.size()};
        }
        return transmit(parts.data(), count, error);
    }

    /// Like the above. Throws boost::system::system_error.
    template <class ConstBuffers>
    std::size_t write_some(const ConstBuffers& buffers)
    {
        boost::system::error_code error;
        const std::size_t bytes = write_some(buffers, error);
        boost::asio::detail::throw_error(error);
        return bytes;
    }

private:
    /// Buffers that one call writes.
    static constexpr std::size_t max_written_buffers = 16;

    std::size_t receive(const boost::asio::mutable_buffer& target,
                        boost::system::error_code& error);
    std::size_t transmit(iovec* parts, std::size_t count,
                         boost::system::error_code& error);
    /// Waits for the events of poll(). Returns whether they came in time.
    bool wait_for(short events, boost::system::error_code& error) const;

    int m_socket = -1;
    span m_max_silence;
    instant m_last_progress;
    instant m_deadline;
};

} // namespace kingcuprudder

#endif
