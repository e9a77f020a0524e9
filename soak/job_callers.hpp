#ifndef SOAK_JOB_CALLERS_HPP
#define SOAK_JOB_CALLERS_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/balancer.hpp>
#include <soak/caller_connection.hpp>
#include <soak/deployment.hpp>
#include <soak/job_ledger.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace kingcuprudder::soak
{

/// What the callers saw.
struct job_calls
{
    int m_answered = 0;
    int m_refused_connections = 0;
    /// Responses that ask for a repeat.
    int m_unavailable = 0;
    /// A message for each request without a response or with a wrong one.
    std::vector<std::string> m_violations;
};

/// Callers that submit jobs, ask for their state and cancel a part of them, on
/// connections that they keep. What one process does not serve they repeat at
/// another.
class job_callers
{
public:
    /// Starts the callers. The arguments must outlive this.
    job_callers(const deployment& nodes, balancer& balance, job_ledger& ledger,
                int callers, unsigned seed);
    ~job_callers();
    job_callers(const job_callers&) = delete;
    job_callers& operator=(const job_callers&) = delete;

    /// Ends the callers and returns what they saw.
    job_calls stop();

private:
    /// A caller's connection, if it has one, and the process at its end.
    struct connection_state
    {
        int m_node = 0;
        std::optional<caller_connection> m_connection;
    };

    void run(unsigned seed);
    /// Sends a request until a process serves it, or for a limited number of
    /// times. Returns the status of the last response, or 0.
    int call(connection_state& state, std::mt19937& random,
             const std::string& method, const std::string& id,
             const std::string& body = "");
    /// Sends a request once. Returns 0 if there is no response.
    int call_once(connection_state& state, const std::string& method,
                  const std::string& request);
    void note_violation(const std::string& text, int node);

    const deployment& m_nodes;
    balancer& m_balancer;
    job_ledger& m_ledger;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    job_calls m_calls;
    std::vector<std::thread> m_threads;
};

} // namespace kingcuprudder::soak

#endif
