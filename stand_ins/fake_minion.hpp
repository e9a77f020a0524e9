#ifndef KINGCUPRUDDER_STAND_INS_FAKE_MINION_HPP
#define KINGCUPRUDDER_STAND_INS_FAKE_MINION_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder::stand_ins
{

/// How a stand-in minion is set up.
struct minion_options
{
    std::string m_address = "127.0.0.1:0"; ///< "ip:port"; port 0 takes any.
    std::size_t m_slots = 8;               ///< Requests run at once.
    std::size_t m_connections = 64;
    span m_service_time = span(5);
};

/// Faults that a test can switch on.
struct minion_faults
{
    /// Accepts requests, runs nothing and never answers.
    bool m_silent = false;
    /// Runs requests and breaks the connection instead of answering.
    bool m_drop_answers = false;
    /// Answers every request with 500 after running it.
    bool m_failing = false;
};

/// One run of a request.
struct minion_run
{
    std::string m_request; ///< As the header x-request-id gave it.
    instant m_started_at;
    instant m_ended_at;     ///< Zero while it runs.
    bool m_leaving = false; ///< It began after the minion said it leaves.
};

/// A back end that runs requests by waiting for its service time. Everything
/// that it does is kept in a history, for checks.
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

    /// Refuses new work and says so in a header; finishes what it runs.
    void begin_leaving();

    /// Waits until no request runs.
    void wait_until_idle();

    std::vector<minion_run> history() const;

    /// Requests that arrived, whether they ran or not.
    std::size_t arrivals() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder::stand_ins

#endif
