#include <kingcuprudder/dispatch/task_ref.hpp>

#include <soak/waiting_tasks.hpp>

#include <algorithm>
#include <optional>

namespace kingcuprudder::soak
{

namespace
{

using dispatch::job_step;
using dispatch::job_submission;
using dispatch::task_ref;

/// Returns the name of the step's first task that is not done, or nothing.
std::optional<std::string> first_open_task(const job_submission& job,
                                           int repeat, int step,
                                           const std::set<std::string>& done)
{
    for (int index = 0; index < job.m_steps[step].m_count; ++index)
    {
        const std::string name = task_ref{job.m_id, repeat, step, index}.str();
        if (!done.contains(name))
        {
            return name;
        }
    }
    return std::nullopt;
}

bool is_gang_done(const job_submission& job, int repeat, int step,
                  const std::set<std::string>& done)
{
    for (int index = 0; index < job.m_steps[step].m_count; ++index)
    {
        if (done.contains(task_ref{job.m_id, repeat, step, index}.str()))
        {
            return true;
        }
    }
    return false;
}

bool is_step_done(const job_submission& job, int repeat, int step,
                  const std::set<std::string>& done)
{
    return job.m_steps[step].m_gang ? is_gang_done(job, repeat, step, done)
                                    : !first_open_task(job, repeat, step, done);
}

bool has_turn(const job_submission& job, int repeat, int step,
              const std::set<std::string>& done)
{
    const std::vector<int>& earlier = job.m_steps[step].m_depends_on;
    return std::all_of(earlier.begin(), earlier.end(),
                       [&](int each)
                       { return is_step_done(job, repeat, each, done); });
}

waiting_task make_waiting(const job_submission& job, const job_step& step,
                          const std::string& name)
{
    waiting_task task;
    task.m_job = job.m_id;
    task.m_name = name;
    task.m_pool = job.m_policy.m_pool;
    task.m_required_label = step.m_required_label;
    task.m_demand = step.occupied();
    task.m_tasks = step.m_gang ? step.m_count : 1;
    task.m_max_per_worker = step.m_max_per_worker;
    task.m_persistent = step.m_persistent;
    return task;
}

/// Returns the names under which the step's tasks wait.
std::vector<std::string> waiting_names(const job_submission& job, int repeat,
                                       int step,
                                       const std::set<std::string>& done)
{
    const job_step& described = job.m_steps[step];
    if (described.m_gang)
    {
        return is_gang_done(job, repeat, step, done) && !described.m_persistent
                   ? std::vector<std::string>()
                   : std::vector{
                         task_ref{job.m_id, repeat, step, 0}.step_str()};
    }
    if (!described.m_persistent)
    {
        const auto name = first_open_task(job, repeat, step, done);
        return name ? std::vector{*name} : std::vector<std::string>();
    }
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(described.m_count));
    for (int index = 0; index < described.m_count; ++index)
    {
        names.push_back(task_ref{job.m_id, repeat, step, index}.str());
    }
    return names;
}

} // namespace

std::vector<waiting_task> waiting_tasks(const job_submission& job,
                                        const std::set<std::string>& done,
                                        instant now)
{
    std::vector<waiting_task> waiting;
    for (int repeat = 0; repeat < job.m_repeats; ++repeat)
    {
        if (now < job.m_first_due + job.m_interval * repeat)
        {
            break;
        }
        for (int step = 0; step < static_cast<int>(job.m_steps.size()); ++step)
        {
            if (!has_turn(job, repeat, step, done))
            {
                continue;
            }
            for (const std::string& name :
                 waiting_names(job, repeat, step, done))
            {
                waiting.push_back(make_waiting(job, job.m_steps[step], name));
            }
        }
    }
    return waiting;
}

} // namespace kingcuprudder::soak
