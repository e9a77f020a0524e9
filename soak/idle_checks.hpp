#ifndef SOAK_IDLE_CHECKS_HPP
#define SOAK_IDLE_CHECKS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>

#include <soak/promise_bounds.hpp>

#include <map>
#include <optional>
#include <set>
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

/// A task on a worker.
struct present_task
{
    std::string m_worker;
    std::string m_task; ///< "job.repeat.step.index".

    friend bool operator==(const present_task&, const present_task&) = default;
};

/// A task, or a whole gang, whose turn has come. Whether it runs is taken from
/// the tasks that are present.
struct waiting_task
{
    std::string m_job;
    /// The name of the task, or of the step ("job.repeat.step") for a gang.
    std::string m_name;
    /// The pool whose workers may run it.
    std::string m_pool;
    /// A label that the worker must have; empty for none.
    std::string m_required_label;
    /// What each task occupies on its worker.
    dispatch::resources m_demand;
    int m_tasks = 1; ///< The tasks that start together.
    /// The maximum number of tasks of the step on one worker; 0 for no limit.
    int m_max_per_worker = 0;
    bool m_persistent = false; ///< It runs until its job is cancelled.

    friend bool operator==(const waiting_task&, const waiting_task&) = default;
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

/// Returns the tasks of a job whose turn has come: their repetition is due and
/// all tasks of the steps that they depend on are done. Due times and `now` are
/// of the same clock. `done` has the names of the tasks that are done; one done
/// member of a gang stands for all. Of a step whose tasks are neither
/// persistent nor a gang, only the first task that is not done is returned.
std::vector<waiting_task> waiting_tasks(const dispatch::job_submission& job,
                                        const std::set<std::string>& done,
                                        instant now);

/// Returns whether workers of the task's pool have room for two of it.
bool fits_twice(const waiting_task& task, const deployment_sample& sample);

/// Returns whether under half of each resource of the pool is in use.
bool is_under_half_used(const std::string& pool,
                        const deployment_sample& sample);

/// Finds jobs that have nothing running though a task could run. For longer
/// than m_idle, the task's turn has come, there is room for two of it, and no
/// task of its job is on a worker. For a persistent task this counts from
/// m_restart after its last run, whether other tasks of its job run or not.
/// Either there was no disruption in this time and m_calm_before_idle before
/// it, or the sample is finished and under half of the pool is in use all the
/// while.
class idle_checks
{
public:
    explicit idle_checks(const promise_bounds& bounds);

    /// Takes the next sample. Returns a message for each job, and for each
    /// persistent task, that begins to break the promise (LOST).
    std::vector<std::string> observe(const deployment_sample& sample);

private:
    /// Since when a waiting task could run and does not.
    struct idle_time
    {
        instant m_since;
        /// Since when also under half was in use in finished samples.
        std::optional<instant> m_under_half_since;
        bool m_reported = false;
    };

    void note_time(const deployment_sample& sample);
    /// Returns since when the task is idle against the promise, or nothing.
    std::optional<instant> counted_since(const waiting_task& task,
                                         const idle_time& idle) const;

    const promise_bounds m_bounds;
    std::optional<instant> m_last_sample;
    std::optional<instant> m_calm_since;
    /// By the name of the waiting task.
    std::map<std::string, idle_time> m_idle;
    /// When a persistent task was last on a worker, by its name.
    std::map<std::string, instant> m_last_present;
};

} // namespace kingcuprudder::soak

#endif
