#ifndef SOAK_WAITING_TASKS_HPP
#define SOAK_WAITING_TASKS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_submission.hpp>

#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

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

/// Returns the tasks of a job whose turn has come: their repetition is due and
/// all tasks of the steps that they depend on are done. Due times and `now` are
/// of the same clock. `done` has the names of the tasks that are done; one done
/// member of a gang stands for all. Of a step whose tasks are neither
/// persistent nor a gang, only the first task that is not done is returned.
std::vector<waiting_task> waiting_tasks(const dispatch::job_submission& job,
                                        const std::set<std::string>& done,
                                        instant now);

} // namespace kingcuprudder::soak

#endif
