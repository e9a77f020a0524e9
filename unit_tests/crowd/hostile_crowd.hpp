#ifndef UNIT_TESTS_CROWD_HOSTILE_CROWD_HPP
#define UNIT_TESTS_CROWD_HOSTILE_CROWD_HPP

#include <kingcuprudder/base/time.hpp>

#include <atomic>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder
{

/// What each connection of a crowd sends.
struct crowd_script
{
    std::string m_name;
    int m_connections = 0;
    /// Sent once at the beginning of each connection.
    std::string m_opening;
    /// Sent after the opening, over and over; nothing if it is empty.
    std::string m_endless;
    /// Makes the opening for the number of a connection, if it is set.
    std::function<std::string(int)> m_make_opening = nullptr;
    /// Whether responses are read. Otherwise they stay in the kernel.
    bool m_reads = true;

    /// Prints the name in messages of tests.
    friend void PrintTo(const crowd_script& script, std::ostream* out)
    {
        *out << script.m_name;
    }
};

/// Clients that keep to no limit, on non-blocking connections in one thread. A
/// connection that the server ends is replaced by a new one.
class hostile_crowd
{
public:
    /// Starts the crowd at each of the addresses "ip:port".
    hostile_crowd(const crowd_script& script,
                  const std::vector<std::string>& addresses);
    /// Closes the connections.
    ~hostile_crowd();
    hostile_crowd(const hostile_crowd&) = delete;
    hostile_crowd& operator=(const hostile_crowd&) = delete;

private:
    void run(const crowd_script& script,
             const std::vector<std::string>& addresses);

    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace kingcuprudder

#endif
