#ifndef SOAK_DEPLOYMENT_SAMPLE_HPP
#define SOAK_DEPLOYMENT_SAMPLE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>

#include <soak/waiting_tasks.hpp>

#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// The capacity of a worker that is up.
struct worker_sample
{
    std::string m_id;
    std::string m_pool; ///< The service that it belongs to.
    std::vector<std::string> m_labels;
    dispatch::resources m_capacity;
    dispatch::resources m_free;
    bool m_draining = false; ///< It takes no new work.

    friend bool operator==(const worker_sample&,
                           const worker_sample&) = default;
};

/// A task that is or was on a worker.
struct present_task
{
    std::string m_worker; ///< Empty if the task has left it.
    std::string m_task;   ///< "job.repeat.step.index".

    friend bool operator==(const present_task&, const present_task&) = default;
};

/// The workers and the waiting tasks at one moment.
struct deployment_sample
{
    /// On a steady clock, later than the sample before.
    instant m_at;
    /// Whether there was no unplanned disruption since the sample before.
    bool m_calm = false;
    /// Whether the traffic has ended and the time for recovery is over.
    bool m_finished = false;
    std::vector<worker_sample> m_workers;
    /// The tasks that were on a worker at any time since the sample before.
    std::vector<present_task> m_present;
    /// The waiting tasks of accepted jobs that have not ended and for which no
    /// cancellation was sent.
    std::vector<waiting_task> m_waiting;

    friend bool operator==(const deployment_sample&,
                           const deployment_sample&) = default;
};

/// Returns whether workers of the task's pool have room for two of it.
bool fits_twice(const waiting_task& task, const deployment_sample& sample);

/// Returns whether under half of each resource of the pool is in use.
bool is_under_half_used(const std::string& pool,
                        const deployment_sample& sample);

} // namespace kingcuprudder::soak

#endif
