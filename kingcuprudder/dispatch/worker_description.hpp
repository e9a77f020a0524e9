#ifndef KINGCUPRUDDER_DISPATCH_WORKER_DESCRIPTION_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_DESCRIPTION_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder::dispatch
{

/// What a worker says of itself.
struct worker_description
{
    std::string m_id;
    std::string m_pool;
    std::string m_address; ///< "ip:port".
    std::string m_zone;
    resources m_capacity;
    std::vector<std::string> m_labels;
    std::string m_rack;
    /// Takes no new work and leaves soon.
    bool m_draining = false;
    /// How long a draining worker stays at least.
    span m_drain_remaining;
    /// When its process started, in Unix milliseconds; 0 if it does not say.
    std::int64_t m_incarnation = 0;
    /// Its own clock when it wrote this, in milliseconds; 0 if it does not say.
    std::int64_t m_clock = 0;

    friend bool operator==(const worker_description&,
                           const worker_description&) = default;
};

/// How a run ended on its worker.
enum class run_outcome
{
    done,
    failed,       ///< Through its own or the worker's fault.
    stopped,      ///< On our order.
    lease_lapsed, ///< The worker's lease ran out.
    gang_broken,  ///< Another member of the gang ended.
    gang_missing, ///< The other members did not come in time.
};

std::string_view to_string(run_outcome how);

/// A run that a worker holds.
struct running_report
{
    std::string m_task;
    int m_run = 0;
    std::string m_checkpoint;
    int m_percent = 0;

    friend bool operator==(const running_report&,
                           const running_report&) = default;
};

/// The end of a run that a worker still remembers.
struct completion_report
{
    std::int64_t m_number = 0; ///< Rises within one life of the worker.
    std::string m_task;
    int m_run = 0;
    run_outcome m_outcome = run_outcome::failed;
    std::string m_checkpoint;

    friend bool operator==(const completion_report&,
                           const completion_report&) = default;
};

/// A worker's answer to a lease renewal.
struct worker_report
{
    /// The worker's clock when it answered, in milliseconds.
    std::int64_t m_clock = 0;
    /// When its process started, in Unix milliseconds; 0 if it does not say.
    std::int64_t m_incarnation = 0;
    std::vector<running_report> m_running;
    std::vector<completion_report> m_ended;

    friend bool operator==(const worker_report&,
                           const worker_report&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
