#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// While a suspected task waits, a line is logged this often.
constexpr span wait_log_interval = span(3000);

} // namespace

void planner::log_suspected_wait(const waiting_step& step)
{
    const std::vector<task_entry>& tasks = step.m_job->step_tasks(step.m_step);
    const auto suspected =
        std::find_if(step.m_waiting.begin(), step.m_waiting.end(),
                     [&tasks](int index)
                     {
                         return tasks[index].is_waiting() &&
                                tasks[index].m_progress.m_crashes.any();
                     });
    if (suspected == step.m_waiting.end())
    {
        return;
    }
    task_ref ref = step.m_step;
    ref.m_index = *suspected;
    task_entry& task = step.m_job->task(ref);
    const bool logged = task.m_wait_logged_at >= task.m_waiting_since &&
                        m_now - task.m_wait_logged_at < wait_log_interval;
    if (logged)
    {
        return;
    }
    task.m_wait_logged_at = m_now;
    const std::int64_t waiting =
        std::count_if(tasks.begin(), tasks.end(),
                      [](const task_entry& each) { return each.is_waiting(); });
    std::int64_t fitting = 0;
    std::int64_t with_room = 0;
    std::int64_t on_trial = 0;
    std::int64_t with_new_runs = 0;
    for (const worker_entry* worker : m_index.pool(step.m_policy.m_pool))
    {
        const int tasks_there =
            fitting_tasks(*worker, step, worker->plannable_capacity());
        if (tasks_there > 0)
        {
            fitting += tasks_there;
            ++with_room;
            on_trial += worker->m_trial_until > m_now ? 1 : 0;
            with_new_runs += is_quiet(*worker) ? 0 : 1;
        }
    }
    m_state.m_log(
        "suspected_task_waits", ref.str(),
        {{"task_waited_ms", number((m_now - task.m_waiting_since).count())},
         {"wants_quiet_worker", step.m_wants_quiet_worker ? "true" : "false"},
         {"tasks", number(waiting)},
         {"gang", step.m_job->step(ref).m_gang ? "true" : "false"},
         {"fitting_tasks", number(fitting)},
         {"workers_with_room", number(with_room)},
         {"on_trial", number(on_trial)},
         {"with_new_runs", number(with_new_runs)}});
}

} // namespace kingcuprudder::dispatch
