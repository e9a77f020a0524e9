#ifndef KINGCUPRUDDER_DISPATCH_WORKER_DESCRIPTION_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_DESCRIPTION_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A worker's description of itself in the platform's worker list.
struct worker_description
{
    std::string m_id;
    std::string m_pool;
    std::string m_address; ///< "ip:port".
    std::string m_zone;
    resources m_capacity;
    std::vector<std::string> m_labels;
    std::string m_rack;
    /// The worker takes no new work and will shut down.
    bool m_draining = false;
    /// The minimum time until a draining worker shuts down.
    span m_drain_remaining;
    /// The incarnation of the worker: the start time of its process in Unix
    /// milliseconds; 0 if unknown.
    std::int64_t m_incarnation = 0;
    /// The worker's clock when it wrote this, in milliseconds; 0 if unknown.
    std::int64_t m_clock = 0;

    friend bool operator==(const worker_description&,
                           const worker_description&) = default;
};

/// The outcome of a run on its worker.
enum class run_outcome
{
    done,
    failed,       ///< Failed because of the task or the worker.
    stopped,      ///< Stopped by an order of the scheduler.
    lease_lapsed, ///< The worker's lease expired.
    gang_broken,  ///< Another member of the gang ended.
    gang_missing, ///< The other members did not start in time.
};

std::string_view to_string(run_outcome outcome);

/// A run on a worker.
struct running_report
{
    std::string m_task;
    int m_run = 0;
    std::string m_checkpoint;
    int m_percent = 0;

    friend bool operator==(const running_report&,
                           const running_report&) = default;
};

/// A completed run that has not been acknowledged to the worker.
struct completion_report
{
    /// Increases monotonically within one incarnation of the worker.
    std::int64_t m_number = 0;
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
    /// The incarnation of the worker: the start time of its process in Unix
    /// milliseconds; 0 if unknown.
    std::int64_t m_incarnation = 0;
    std::vector<running_report> m_running;
    std::vector<completion_report> m_ended;
    /// The fencing token of the call that this answers.
    std::int64_t m_fence = 0;

    /// Returns the entry of a run that the worker holds, or null.
    const running_report* find(const std::string& task, int run) const;

    friend bool operator==(const worker_report&,
                           const worker_report&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
