#ifndef UNIT_TESTS_CROWD_ENDLESS_SERVER_HPP
#define UNIT_TESTS_CROWD_ENDLESS_SERVER_HPP

#include <atomic>
#include <deque>
#include <ostream>
#include <string>
#include <thread>

namespace kingcuprudder
{

/// A response whose last part never ends.
struct endless_response
{
    std::string m_name;
    std::string m_opening;
    std::string m_endless;

    /// Prints the name in messages of tests.
    friend void PrintTo(const endless_response& response, std::ostream* out)
    {
        *out << response.m_name;
    }
};

/// A server that sends a response without end to each request.
class endless_server
{
public:
    explicit endless_server(endless_response response);
    ~endless_server();
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    const std::string& address() const { return m_address; }

private:
    void accept_connections();
    void serve(int connection) const;

    const endless_response m_response;
    std::string m_address;
    int m_socket;
    std::atomic<bool> m_stopped = false;
    /// Used by the accepting thread only, until that has ended.
    std::deque<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace kingcuprudder

#endif
