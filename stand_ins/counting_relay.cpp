#include <kingcuprudder/stream/socket_handle.hpp>

#include <stand_ins/counting_relay.hpp>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <list>
#include <map>
#include <mutex>
#include <poll.h>
#include <stdexcept>
#include <thread>
#include <vector>

namespace kingcuprudder::stand_ins
{

namespace
{

constexpr std::size_t buffer_bytes = std::size_t{64} * 1024;

/// One direction of a connection, with the bytes read but not yet forwarded.
struct flow
{
    std::string m_pending;
    bool m_ended = false;
};

struct relayed_connection
{
    std::string m_name;
    std::array<socket_handle, 2> m_sockets; // Of the caller and the target.
    std::array<flow, 2> m_flows; // Read from the socket of this index.
    bool m_broken = false;
};

struct relay_listener
{
    socket_handle m_socket;
    std::string m_target;
    std::string m_name;
};

} // namespace

class counting_relay::implementation
{
public:
    implementation() : m_thread([this] { run(); }) {}

    ~implementation()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_wake.raise();
        m_thread.join();
        // A caller whose connection is closed must not reach the listener.
        m_listeners.clear();
    }

    std::string add(const std::string& target, const std::string& name,
                    const std::string& address)
    {
        relay_listener added{listen_on(address), target, name};
        std::string actual_address = local_address(added.m_socket);
        {
            std::lock_guard lock(m_mutex);
            m_listeners.push_back(std::move(added));
        }
        m_wake.raise();
        return actual_address;
    }

    std::uint64_t bytes(const std::string& name) const
    {
        std::lock_guard lock(m_mutex);
        const auto found = m_bytes.find(name);
        return found == m_bytes.end() ? 0 : found->second;
    }

private:
    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_stopping)
        {
            std::vector<pollfd> polled = poll_list();
            lock.unlock();
            ::poll(polled.data(), polled.size(), -1);
            lock.lock();
            m_wake.clear();
            for (relayed_connection& each : m_connections)
            {
                move_bytes(each);
            }
            m_connections.remove_if([](const relayed_connection& each)
                                    { return is_finished(each); });
            accept_all();
        }
    }

    std::vector<pollfd> poll_list() const
    {
        std::vector<pollfd> polled;
        polled.push_back({m_wake.descriptor(), POLLIN, 0});
        for (const relay_listener& each : m_listeners)
        {
            polled.push_back({each.m_socket.get(), POLLIN, 0});
        }
        for (const relayed_connection& each : m_connections)
        {
            for (std::size_t side = 0; side < 2; ++side)
            {
                const flow& from = each.m_flows[side];
                const flow& to = each.m_flows[1 - side];
                const bool reads = !from.m_ended && from.m_pending.empty();
                const auto events =
                    static_cast<short>((reads ? POLLIN : 0) |
                                       (to.m_pending.empty() ? 0 : POLLOUT));
                // poll() ignores a descriptor of -1. Polling a closed side
                // would return at once and spin.
                polled.push_back(
                    {events == 0 ? -1 : each.m_sockets[side].get(), events, 0});
            }
        }
        return polled;
    }

    void accept_all()
    {
        for (relay_listener& each : m_listeners)
        {
            socket_handle caller = accept_from(each.m_socket);
            while (caller.is_open())
            {
                relayed_connection added;
                added.m_name = each.m_name;
                added.m_sockets[0] = std::move(caller);
                added.m_sockets[1] = begin_connect(each.m_target);
                m_connections.push_back(std::move(added));
                caller = accept_from(each.m_socket);
            }
        }
    }

    void move_bytes(relayed_connection& each)
    {
        for (std::size_t side = 0; side < 2; ++side)
        {
            flow& from = each.m_flows[side];
            if (from.m_pending.empty() && !from.m_ended)
            {
                receive(each, side);
            }
            send(each, side);
        }
    }

    void receive(relayed_connection& each, std::size_t side)
    {
        std::array<char, buffer_bytes> buffer{};
        flow& from = each.m_flows[side];
        const ssize_t size =
            ::recv(each.m_sockets[side].get(), buffer.data(), buffer.size(), 0);
        if (size > 0)
        {
            from.m_pending.assign(buffer.data(),
                                  static_cast<std::size_t>(size));
            m_bytes[each.m_name] += static_cast<std::uint64_t>(size);
        }
        else if (size == 0)
        {
            from.m_ended = true;
            ::shutdown(each.m_sockets[1 - side].get(), SHUT_WR);
        }
        else if (errno != EAGAIN && errno != ENOTCONN)
        {
            each.m_broken = true;
        }
    }

    static void send(relayed_connection& each, std::size_t side)
    {
        flow& from = each.m_flows[side];
        if (from.m_pending.empty())
        {
            return;
        }
        const ssize_t size =
            ::send(each.m_sockets[1 - side].get(), from.m_pending.data(),
                   from.m_pending.size(), MSG_NOSIGNAL);
        if (size > 0)
        {
            from.m_pending.erase(0, static_cast<std::size_t>(size));
        }
        else if (errno != EAGAIN && errno != ENOTCONN)
        {
            each.m_broken = true;
        }
    }

    static bool is_finished(const relayed_connection& each)
    {
        return each.m_broken ||
               (each.m_flows[0].m_ended && each.m_flows[1].m_ended);
    }

    mutable std::mutex m_mutex;
    wake_signal m_wake;
    std::vector<relay_listener> m_listeners;
    std::list<relayed_connection> m_connections;
    std::map<std::string, std::uint64_t> m_bytes;
    bool m_stopping = false;
    std::thread m_thread;
};

counting_relay::counting_relay()
    : m_implementation(std::make_unique<implementation>())
{
}

counting_relay::~counting_relay() = default;

std::string counting_relay::add(const std::string& target,
                                const std::string& name,
                                const std::string& address)
{
    return m_implementation->add(target, name, address);
}

std::uint64_t counting_relay::bytes(const std::string& name) const
{
    return m_implementation->bytes(name);
}

} // namespace kingcuprudder::stand_ins
