#ifndef SOAK_IDLE_CHECKS_HPP
#define SOAK_IDLE_CHECKS_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/deployment_sample.hpp>
#include <soak/promise_bounds.hpp>
#include <soak/waiting_tasks.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

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
    };

    void note_time(const deployment_sample& sample);
    void note_present(const waiting_task& task, instant now);
    /// Returns how long the task has been idle, with this sample.
    idle_time next_idle(const waiting_task& task,
                        const deployment_sample& sample) const;
    /// Returns for how long the task has broken the promise, before m_idle is
    /// taken off; at most zero if it does not.
    span counted_idle(const waiting_task& task, const idle_time& idle,
                      instant now) const;

    const promise_bounds m_bounds;
    std::optional<instant> m_last_sample;
    std::optional<instant> m_calm_since;
    /// By the name of the waiting task.
    std::map<std::string, idle_time> m_idle;
    /// The jobs and persistent tasks that broke the promise in the last sample.
    std::set<std::string> m_broken;
    /// When a persistent task was last on a worker, by its name.
    std::map<std::string, instant> m_last_present;
};

} // namespace kingcuprudder::soak

#endif
