#ifndef SOAK_STATUS_CALLERS_HPP
#define SOAK_STATUS_CALLERS_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/balancer.hpp>
#include <soak/deployment.hpp>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder::soak
{

/// What the callers saw.
struct status_calls
{
    int m_answered = 0;
    /// Connections that were refused; nothing was sent on them.
    int m_refused_connections = 0;
    /// A message for each request that was sent and got no response, or one
    /// that refuses it although the route, the key and the job are there.
    std::vector<std::string> m_unanswered;
};

/// Callers that ask for a job's state again and again. Each keeps its
/// connection until the process says that it closes it, or closes it. One of
/// three then asks the balancer for a process; the others connect to the same
/// one until it refuses them, and one of these pauses between its requests.
class status_callers
{
public:
    /// Starts the callers. The deployment and the balancer must outlive this.
    status_callers(const deployment& nodes, balancer& balance, std::string job,
                   int callers, unsigned seed);
    ~status_callers();
    status_callers(const status_callers&) = delete;
    status_callers& operator=(const status_callers&) = delete;

    /// Ends the callers and returns what they saw.
    status_calls stop();

private:
    /// How a connection of a caller ended.
    enum class connection_end
    {
        refused,
        closed,
        unanswered,
        stopped,
    };

    void run(int caller, unsigned seed);
    connection_end call_until_closed(int node, span max_pause,
                                     std::mt19937& random);
    /// Notes a response, which is a violation if it refuses the request.
    void note_answer(int node, int status);
    void note_unanswered(int node, int earlier_calls, const std::string& error);

    const deployment& m_nodes;
    balancer& m_balancer;
    std::string m_path;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    status_calls m_calls;
    std::vector<std::thread> m_threads;
};

} // namespace kingcuprudder::soak

#endif
