#ifndef SOAK_JOB_CHECKS_HPP
#define SOAK_JOB_CHECKS_HPP

#include <kingcuprudder/base/time.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// What the callers and the workers saw of a job.
struct observed_job
{
    std::string m_id;
    bool m_accepted = false;
    /// Each attempt to submit it was refused or got no connection.
    bool m_refused_only = false;
    /// One of its tasks crashes each worker that starts it.
    bool m_crashes_workers = false;
    /// A caller has sent a cancellation of it.
    bool m_cancelled = false;
    int m_tasks = 1;
    /// The state that callers were told last, a status, or "no answer".
    std::string m_state;
    int m_started_tasks = 0;
    int m_completed_tasks = 0;
    /// The largest number of workers that have crashed under one of its tasks.
    int m_crashes = 0;
};

/// Returns a message for each violation of what must hold for a job at the end.
/// An accepted job is completed, and is reported so (LOST); one that crashes
/// workers may be queued, running or failed instead, and one of which a
/// cancellation was sent may be cancelled. A job is reported as
/// completed only if all its tasks are done (MIXED). No task of a refused job
/// has started (REFUSED).
std::vector<std::string> job_violations(const observed_job& job);

/// Returns whether a job may be unknown at an instant: it was reported in a
/// final state, and its last run ended at least the time `kept` before.
bool may_be_forgotten(bool reported_as_ended, std::optional<instant> last_end,
                      instant at, span kept);

} // namespace kingcuprudder::soak

#endif
