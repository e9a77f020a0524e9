#ifndef SOAK_JOB_PLAN_HPP
#define SOAK_JOB_PLAN_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>

#include <soak/deployment_sheet.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// A step of a planned job.
struct planned_step
{
    int m_tasks = 1;
    bool m_after_previous = false;
};

/// A job that a caller submits. Times are counted from the begin of the load.
struct planned_job
{
    std::string m_id;
    /// The index of the job's kind in the sheet.
    int m_kind = 0;
    span m_submit_at;
    /// When the job is cancelled, if it is.
    std::optional<span> m_cancel_at;
    std::vector<planned_step> m_steps;
    span m_work;
    span m_estimate;
    int m_gpus = 1;
    bool m_same_rack = false;
    bool m_saves_progress = false;
    bool m_persistent = false;
    /// How often the steps run, and at which interval; a job with 1 has no
    /// times.
    int m_repeats = 1;
    span m_interval;

    /// Returns the number of tasks of all steps and repetitions.
    int task_count() const;
};

/// Draws the jobs of a deployment from the seed, in the order of submission.
std::vector<planned_job> plan_jobs(const deployment_sheet& sheet,
                                   unsigned seed);

/// Whether the tasks of the job's steps are gangs.
bool is_gang(const planned_job& job, const job_kind& kind);

/// Returns what each task of the job requires.
dispatch::resources demand_of(const planned_job& job, const job_kind& kind);

/// Returns the path of a job for callers.
std::string path_of(const planned_job& job, const job_kind& kind);

/// Returns the body of the submission. Repetitions are due from the given time
/// on, in milliseconds since 1970.
std::string body_of(const planned_job& job, const job_kind& kind,
                    std::int64_t first_due_ms);

} // namespace kingcuprudder::soak

#endif
