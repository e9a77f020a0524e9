#ifndef SOAK_BALANCER_HPP
#define SOAK_BALANCER_HPP

#include <soak/deployment.hpp>

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace kingcuprudder::soak
{

/// Selects the process for a caller's new connection, as the platform's load
/// balancer does: one that misses two checks of its readiness in a row gets no
/// new connections until it is ready again. If fewer than half are ready, all
/// are used.
class balancer
{
public:
    /// Checks the processes from now on. The deployment must outlive this.
    explicit balancer(const deployment& nodes);
    ~balancer();
    balancer(const balancer&) = delete;
    balancer& operator=(const balancer&) = delete;

    /// Returns a process that gets new connections, selected by the number.
    int select(unsigned choice);

private:
    void run();
    bool is_ready(int node) const;
    void note_check(int node, bool ready);

    const deployment& m_deployment;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    /// Checks missed in a row, by process.
    std::vector<int> m_misses;
    std::thread m_thread;
};

} // namespace kingcuprudder::soak

#endif
