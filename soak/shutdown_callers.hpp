#ifndef SOAK_SHUTDOWN_CALLERS_HPP
#define SOAK_SHUTDOWN_CALLERS_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/caller_connection.hpp>
#include <soak/job_ledger.hpp>

#include <array>
#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace kingcuprudder::soak
{

/// How a caller sends its requests: on a connection that it keeps or on a new
/// one each, with a pause before the body, or two at once, or one
/// on a connection that was idle before.
enum class caller_kind
{
    kept_get,
    kept_post,
    kept_delete,
    new_get,
    new_post,
    new_delete,
    slow_post,
    two_gets,
    idle_get,
};

inline constexpr std::array all_caller_kinds{
    caller_kind::kept_get,  caller_kind::kept_post, caller_kind::kept_delete,
    caller_kind::new_get,   caller_kind::new_post,  caller_kind::new_delete,
    caller_kind::slow_post, caller_kind::two_gets,  caller_kind::idle_get};

std::string_view to_string(caller_kind kind);

/// What a caller saw of a request.
struct observed_request
{
    caller_kind m_kind = caller_kind::kept_get;
    instant m_sent_at;
    /// The time until the response or until it was clear that none comes.
    span m_took;
    /// 0 if there is no response.
    int m_status = 0;
    /// Whether the response says that the connection is closed after it.
    bool m_closes = false;
    /// Whether there was no connection, so that nothing was sent.
    bool m_refused = false;
    /// Why the response is missing.
    std::string m_error;

    friend bool operator==(const observed_request&,
                           const observed_request&) = default;
};

/// What callers saw of their requests to one process.
struct shutdown_calls
{
    std::vector<observed_request> m_requests;
    /// Submissions without a response, by whether another process then knew
    /// the job.
    int m_stored_without_response = 0;
    int m_absent_without_response = 0;
};

/// Callers of one process, which keep on using it until it is gone. What it
/// does not accept they submit to another process under the same id.
class shutdown_callers
{
public:
    /// Starts the callers, of each kind in turn. The addresses are the
    /// process's and another one's; the ledger must outlive this.
    shutdown_callers(std::string address, std::string other_address,
                     job_ledger& ledger, int callers, unsigned seed);
    ~shutdown_callers();
    shutdown_callers(const shutdown_callers&) = delete;
    shutdown_callers& operator=(const shutdown_callers&) = delete;

    /// Ends the callers and returns what they saw.
    shutdown_calls stop();

private:
    void run(caller_kind kind, unsigned seed);
    /// Sends requests on one connection until it ends. Returns whether there
    /// was one.
    bool use_connection(caller_kind kind, std::mt19937& random);
    void use_job(caller_kind kind, caller_connection& connection,
                 std::mt19937& random, bool& open);
    /// Submits a job and sees to it that it is accepted anywhere.
    void submit(caller_kind kind, caller_connection& connection,
                const std::string& id, std::mt19937& random, bool& open);
    /// Submits a job to the other process until it accepts it.
    void submit_elsewhere(const std::string& id);
    observed_request send(caller_kind kind, caller_connection& connection,
                          const std::string& request, bool& open);
    observed_request receive(caller_kind kind, caller_connection& connection,
                             instant sent_at, bool& open);
    void note(const observed_request& request);
    void note_outcome_without_response(const std::string& id);

    std::string m_address;
    std::string m_other_address;
    job_ledger& m_ledger;
    std::string m_asked_job;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    shutdown_calls m_calls;
    std::vector<std::thread> m_threads;
};

} // namespace kingcuprudder::soak

#endif
