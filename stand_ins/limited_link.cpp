#include <kingcuprudder/runtime/event_loop.hpp>
#include <kingcuprudder/runtime/ip_address.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <stand_ins/limited_link.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <deque>
#include <random>

namespace kingcuprudder::stand_ins
{

namespace
{

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;
using link_clock = std::chrono::steady_clock;

// Connections take turns after this many bytes.
constexpr std::size_t chunk_bytes = std::size_t{8} * 1024;
// Bytes of a direction of a connection that are under way; further ones stay in
// the sender's socket.
constexpr std::size_t max_bytes_under_way = std::size_t{512} * 1024;

tcp::endpoint endpoint_of(const std::string& address)
{
    const ip_address parsed = parse_ip_address(address);
    return {asio::ip::make_address(parsed.m_host),
            static_cast<unsigned short>(parsed.m_port)};
}

/// One direction of the link, which sends one chunk after the other.
class lane
{
public:
    explicit lane(const link_limits& limits)
        : m_bytes_per_second(limits.m_bytes_per_second)
    {
    }

    /// Reserves the next free time for this many bytes. Returns when they are
    /// sent.
    link_clock::time_point reserve(std::size_t bytes)
    {
        const std::chrono::duration<double> duration(
            static_cast<double>(bytes) /
            static_cast<double>(m_bytes_per_second));
        m_free_at = std::max(m_free_at, link_clock::now()) +
                    std::chrono::duration_cast<link_clock::duration>(duration);
        return m_free_at;
    }

private:
    std::int64_t m_bytes_per_second;
    link_clock::time_point m_free_at;
};

/// Decides which answers are lost and counts the bytes of the others.
class answer_filter
{
public:
    explicit answer_filter(const link_limits& limits)
        : m_lost(limits.m_lost_answers), m_random(limits.m_seed)
    {
    }

    bool next_is_lost()
    {
        return std::uniform_real_distribution<>()(m_random) < m_lost;
    }
    void set_lost(double share) { m_lost = share; }
    void count(std::size_t bytes) { m_bytes += bytes; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    std::atomic<double> m_lost;
    std::atomic<std::uint64_t> m_bytes = 0;
    std::mt19937 m_random; // Used on the loop's thread only.
};

/// A connection of a caller to the target. Its pending operations share its
/// ownership.
class linked_connection : public std::enable_shared_from_this<linked_connection>
{
public:
    linked_connection(tcp::socket caller, asio::io_context& context,
                      std::array<lane, 2>& lanes, span delay,
                      answer_filter& answers)
        : m_sockets{std::move(caller), tcp::socket(context)},
          m_flows{flow(context, lanes[caller_side]),
                  flow(context, lanes[target_side])},
          m_delay(delay.count()), m_answers(answers)
    {
    }

    void connect(const tcp::endpoint& target)
    {
        m_sockets[target_side].async_connect(
            target,
            [self = shared_from_this()](const error_code& error)
            {
                if (error)
                {
                    self->close();
                    return;
                }
                for (const std::size_t side : {caller_side, target_side})
                {
                    self->m_sockets[side].set_option(tcp::no_delay(true));
                    self->read(side);
                }
            });
    }

private:
    static constexpr std::size_t caller_side = 0;
    static constexpr std::size_t target_side = 1;

    struct chunk
    {
        std::string m_bytes; ///< Empty for the end of the stream.
        link_clock::time_point m_arrives_at;
    };

    /// What the socket of one side sends.
    struct flow
    {
        flow(asio::io_context& context, lane& sent_on)
            : m_lane(sent_on), m_sending(context), m_arriving(context)
        {
        }

        lane& m_lane;
        asio::steady_timer m_sending;
        asio::steady_timer m_arriving;
        std::array<char, chunk_bytes> m_buffer{};
        std::deque<chunk> m_under_way;
        std::size_t m_bytes_under_way = 0;
        bool m_delivering = false;
        bool m_reading = false;
        bool m_ended = false;
    };

    void read(std::size_t side)
    {
        flow& from = m_flows[side];
        if (from.m_reading || from.m_ended ||
            from.m_bytes_under_way >= max_bytes_under_way)
        {
            return;
        }
        from.m_reading = true;
        m_sockets[side].async_read_some(
            asio::buffer(from.m_buffer),
            [self = shared_from_this(), side](const error_code& error,
                                              std::size_t bytes)
            { self->bytes_read(side, error, bytes); });
    }

    void bytes_read(std::size_t side, const error_code& error,
                    std::size_t bytes)
    {
        flow& from = m_flows[side];
        if (error && error != asio::error::eof)
        {
            close();
            return;
        }
        from.m_ended = static_cast<bool>(error);
        note_answers(side, bytes);
        const link_clock::time_point sent = from.m_lane.reserve(bytes);
        if (side == caller_side || !m_answer_lost)
        {
            from.m_bytes_under_way += bytes;
            from.m_under_way.push_back(
                {std::string(from.m_buffer.data(), bytes), sent + m_delay});
            deliver(side);
        }
        from.m_sending.expires_at(sent);
        from.m_sending.async_wait(
            [self = shared_from_this(), side](const error_code& cancelled)
            {
                if (!cancelled)
                {
                    self->m_flows[side].m_reading = false;
                    self->read(side);
                }
            });
    }

    /// A request that follows an answer begins the next answer, which may be
    /// lost.
    void note_answers(std::size_t side, std::size_t bytes)
    {
        if (side == target_side)
        {
            m_answer_begun = true;
            m_answers.count(bytes);
        }
        else if (m_answer_begun && bytes > 0)
        {
            m_answer_begun = false;
            m_answer_lost = m_answer_lost || m_answers.next_is_lost();
        }
    }

    void deliver(std::size_t side)
    {
        flow& from = m_flows[side];
        if (from.m_delivering || from.m_under_way.empty())
        {
            return;
        }
        from.m_delivering = true;
        from.m_arriving.expires_at(from.m_under_way.front().m_arrives_at);
        from.m_arriving.async_wait(
            [self = shared_from_this(), side](const error_code& cancelled)
            {
                if (!cancelled)
                {
                    self->write(side);
                }
            });
    }

    void write(std::size_t side)
    {
        tcp::socket& to = m_sockets[1 - side];
        const std::string& bytes = m_flows[side].m_under_way.front().m_bytes;
        if (bytes.empty())
        {
            error_code error;
            to.shutdown(tcp::socket::shutdown_send, error);
            if (error || m_flows[1 - side].m_ended)
            {
                close();
            }
            return;
        }
        asio::async_write(to, asio::buffer(bytes),
                          [self = shared_from_this(),
                           side](const error_code& error, std::size_t written)
                          {
                              if (error)
                              {
                                  self->close();
                                  return;
                              }
                              flow& from = self->m_flows[side];
                              from.m_bytes_under_way -= written;
                              from.m_under_way.pop_front();
                              from.m_delivering = false;
                              self->deliver(side);
                              self->read(side);
                          });
    }

    void close()
    {
        for (const std::size_t side : {caller_side, target_side})
        {
            // Closing fails only for a socket that is closed already.
            error_code ignored;
            m_sockets[side].close(ignored);
            m_flows[side].m_sending.cancel();
            m_flows[side].m_arriving.cancel();
        }
    }

    std::array<tcp::socket, 2> m_sockets;
    std::array<flow, 2> m_flows;
    std::chrono::milliseconds m_delay;
    answer_filter& m_answers;
    /// Whether the target has answered since the caller last sent.
    bool m_answer_begun = true;
    bool m_answer_lost = false;
};

} // namespace

class limited_link::implementation
{
public:
    implementation(const std::string& target, const link_limits& limits,
                   const std::string& address)
        : m_target(endpoint_of(target)),
          m_delay(limits.m_one_way_delay), m_lanes{lane(limits), lane(limits)},
          m_answers(limits),
          m_loop([](const std::string& what)
                 { std::fprintf(stderr, "limited_link: %s\n", what.c_str()); }),
          m_acceptor(m_loop.context(), endpoint_of(address))
    {
        const tcp::endpoint local = m_acceptor.local_endpoint();
        m_address =
            local.address().to_string() + ":" + std::to_string(local.port());
        m_loop.post([this] { accept(); });
    }

    ~implementation() { m_loop.stop(); }

    const std::string& address() const { return m_address; }
    answer_filter& answers() { return m_answers; }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](const error_code& error, tcp::socket caller)
            {
                if (error)
                {
                    m_loop.on_error()("accept: " + error.message());
                }
                else
                {
                    std::make_shared<linked_connection>(
                        std::move(caller), m_loop.context(), m_lanes, m_delay,
                        m_answers)
                        ->connect(m_target);
                }
                accept();
            });
    }

    tcp::endpoint m_target;
    span m_delay;
    std::string m_address;
    // One for each direction, shared by all connections.
    std::array<lane, 2> m_lanes;
    answer_filter m_answers;
    event_loop m_loop;
    tcp::acceptor m_acceptor;
};

limited_link::limited_link(const std::string& target, const link_limits& limits,
                           const std::string& address)
    : m_implementation(
          std::make_unique<implementation>(target, limits, address))
{
}

limited_link::~limited_link() = default;

const std::string& limited_link::address() const
{
    return m_implementation->address();
}

void limited_link::set_lost_answers(double share)
{
    m_implementation->answers().set_lost(share);
}

std::uint64_t limited_link::answered_bytes() const
{
    return m_implementation->answers().bytes();
}

} // namespace kingcuprudder::stand_ins
