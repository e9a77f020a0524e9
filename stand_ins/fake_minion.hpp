#ifndef KINGCUPRUDDER_STAND_INS_FAKE_MINION_HPP
#define KINGCUPRUDDER_STAND_INS_FAKE_MINION_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder::stand_ins
{

/// The configuration of a stand-in minion.
struct minion_options
{
    std::string m_address = "127.0.0.1:0"; ///< "ip:port"; port 0: any free.
    std::size_t m_slots = 8;               ///< Maximum of concurrent requests.
    std::size_t m_connections = 64;
    span m_service_time = span(5);
};

/// Faults that a test can inject.
struct minion_faults
{
    /// Accepts requests without running or answering them.
    bool m_silent = false;
    /// Runs requests, then breaks the connection instead of answering.
    bool m_drop_answers = false;
    /// Runs every request, then answers with status 500.
    bool m_failing = false;
};

/// One run of a request.
struct minion_run
{
    std::string m_request; ///< The value of the header x-request-id.
    instant m_started_at;
    instant m_ended_at;     ///< Zero while the request runs.
    bool m_leaving = false; ///< Started while the minion drained.
};

/// A back end that runs a request by waiting for the service time. It records
/// all runs in a history for checks.
class fake_minion
{
public:
    explicit fake_minion(const minion_options& options);
    ~fake_minion();
    fake_minion(const fake_minion&) = delete;
    fake_minion& operator=(const fake_minion&) = delete;

    const std::string& address() const;

    void set_faults(const minion_faults& faults);
    void set_service_time(span service_time);

    /// Starts draining: refuses new requests, sets the header x-leaving and
    /// finishes the running requests.
    void begin_leaving();

    /// Waits until no request runs.
    void wait_until_idle();

    std::vector<minion_run> history() const;

    /// Returns the number of requests received, including those not run.
    std::size_t arrivals() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif
