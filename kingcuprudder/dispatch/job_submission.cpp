#include <kingcuprudder/dispatch/job_submission.hpp>

namespace kingcuprudder::dispatch
{

bool has_valid_size(const job_submission& job)
{
    if (job.m_steps.empty() || job.m_repeats < 1 ||
        job.m_repeats > max_tasks_per_job)
    {
        return false;
    }
    std::int64_t tasks = 0;
    for (const job_step& step : job.m_steps)
    {
        // Checked at each step, so that the sum cannot overflow.
        tasks += step.m_count;
        if (step.m_count < 1 || tasks * job.m_repeats > max_tasks_per_job)
        {
            return false;
        }
    }
    return true;
}

} // namespace kingcuprudder::dispatch
