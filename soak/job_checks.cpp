#include <soak/job_checks.hpp>

namespace kingcuprudder::soak
{

namespace
{

bool is_lost(const observed_job& job)
{
    if (job.m_state == "completed" ||
        (job.m_cancelled && job.m_state == "cancelled"))
    {
        return false;
    }
    const bool unfinished = job.m_state == "queued" ||
                            job.m_state == "running" || job.m_state == "failed";
    return !job.m_crashes_workers || !unfinished;
}

} // namespace

std::vector<std::string> job_violations(const observed_job& job)
{
    std::vector<std::string> found;
    const std::string done = std::to_string(job.m_completed_tasks) + " of " +
                             std::to_string(job.m_tasks) + " tasks done";
    if (job.m_accepted && is_lost(job))
    {
        found.push_back("LOST: accepted job " + job.m_id + " is reported as " +
                        job.m_state + ", " + done + ", " +
                        std::to_string(job.m_crashes) +
                        " crashes under one task");
    }
    if (job.m_accepted && job.m_state == "completed" &&
        job.m_completed_tasks < job.m_tasks)
    {
        found.push_back("MIXED: job " + job.m_id +
                        " is reported as completed, " + done);
    }
    if (job.m_refused_only && job.m_started_tasks > 0)
    {
        found.push_back("REFUSED: refused job " + job.m_id + " ran");
    }
    return found;
}

bool may_be_forgotten(bool reported_as_ended, std::optional<instant> last_end,
                      instant at, span kept)
{
    return reported_as_ended && last_end && at >= *last_end + kept;
}

} // namespace kingcuprudder::soak
