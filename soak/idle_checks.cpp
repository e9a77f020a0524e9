#include <kingcuprudder/dispatch/task_ref.hpp>

#include <soak/idle_checks.hpp>

#include <algorithm>

namespace kingcuprudder::soak
{

namespace
{

using dispatch::task_ref;

/// The names of the tasks, steps and jobs that have a task on a worker.
struct present_names
{
    std::set<std::string> m_tasks_and_steps;
    std::set<std::string> m_jobs;

    /// Whether what the promise asks for is running.
    bool covers(const waiting_task& task) const
    {
        return task.m_persistent ? m_tasks_and_steps.contains(task.m_name)
                                 : m_jobs.contains(task.m_job);
    }
};

present_names names_of(const std::vector<present_task>& present)
{
    present_names names;
    for (const present_task& each : present)
    {
        if (const auto task = task_ref::parse(each.m_task))
        {
            names.m_tasks_and_steps.insert(task->str());
            names.m_tasks_and_steps.insert(task->step_str());
            names.m_jobs.insert(task->m_job);
        }
    }
    return names;
}

/// Returns what the promise is about: a persistent task, or a whole job.
const std::string& subject_of(const waiting_task& task)
{
    return task.m_persistent ? task.m_name : task.m_job;
}

std::string message(const waiting_task& task, span idle)
{
    const std::string who = task.m_persistent
                                ? "task " + task.m_name + " does not run"
                                : "job " + task.m_job + " has nothing running";
    return "LOST: " + who + " for " + std::to_string(idle.count()) +
           " ms, and there is room for two of " + task.m_name;
}

} // namespace

idle_checks::idle_checks(const promise_bounds& bounds) : m_bounds(bounds) {}

std::vector<std::string> idle_checks::observe(const deployment_sample& sample)
{
    note_time(sample);
    const present_names present = names_of(sample.m_present);
    std::map<std::string, idle_time> idle;
    std::set<std::string> broken;
    std::vector<std::string> found;
    for (const waiting_task& task : sample.m_waiting)
    {
        if (present.covers(task))
        {
            note_present(task, sample.m_at);
            continue;
        }
        if (!fits_twice(task, sample))
        {
            continue;
        }
        idle[task.m_name] = next_idle(task, sample);
        const span duration =
            counted_idle(task, idle[task.m_name], sample.m_at);
        if (duration <= m_bounds.m_idle)
        {
            continue;
        }
        const std::string& subject = subject_of(task);
        if (broken.insert(subject).second && !m_broken.contains(subject))
        {
            found.push_back(message(task, duration));
        }
    }
    m_idle = std::move(idle);
    m_broken = std::move(broken);
    return found;
}

void idle_checks::note_present(const waiting_task& task, instant now)
{
    if (task.m_persistent)
    {
        m_last_present[task.m_name] = now;
    }
}

void idle_checks::note_time(const deployment_sample& sample)
{
    if (m_last_sample &&
        sample.m_at - *m_last_sample > m_bounds.m_max_sample_gap)
    {
        m_idle.clear();
    }
    m_last_sample = sample.m_at;
    if (!sample.m_calm)
    {
        m_calm_since.reset();
    }
    else if (!m_calm_since)
    {
        m_calm_since = sample.m_at;
    }
}

idle_checks::idle_time
idle_checks::next_idle(const waiting_task& task,
                       const deployment_sample& sample) const
{
    const auto found = m_idle.find(task.m_name);
    idle_time idle = found == m_idle.end()
                         ? idle_time{sample.m_at, std::nullopt}
                         : found->second;
    if (!sample.m_finished || !is_under_half_used(task.m_pool, sample))
    {
        idle.m_under_half_since.reset();
    }
    else if (!idle.m_under_half_since)
    {
        idle.m_under_half_since = sample.m_at;
    }
    return idle;
}

span idle_checks::counted_idle(const waiting_task& task, const idle_time& idle,
                               instant now) const
{
    instant since = idle.m_under_half_since.value_or(now);
    if (m_calm_since)
    {
        since = std::min(since,
                         std::max(idle.m_since,
                                  *m_calm_since + m_bounds.m_calm_before_idle));
    }
    const auto last = m_last_present.find(task.m_name);
    if (task.m_persistent && last != m_last_present.end())
    {
        since = std::max(since, last->second + m_bounds.m_restart);
    }
    return now - since;
}

} // namespace kingcuprudder::soak
