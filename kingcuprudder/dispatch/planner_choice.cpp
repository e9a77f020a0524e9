#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// A job with nothing running waits no longer for a better place while the pool
// is mostly idle: it must not wait for 3 s.
constexpr span max_wait_in_idle_pool = span(1000);
constexpr int room_for_two = 2;

/// Returns whether it is over half; an amount of which there is none is.
bool is_over_half(std::int64_t part, std::int64_t whole)
{
    return whole == 0 || 2 * part > whole;
}

} // namespace

// Whether a step waits for the place where its tasks take least time, a rack
// that holds a gang or the rack of the data, or starts elsewhere.

instant planner::ready_since(const waiting_step& step) const
{
    const job_entry& job = *step.m_job;
    const auto& steps = job.m_tasks[step.m_step.m_repeat];
    instant since = objective_start(job, step.m_step.m_repeat);
    const auto add_ends = [&](int index)
    {
        for (const task_entry& task : steps[index])
        {
            since = std::max(since, task.m_waiting_since);
        }
    };
    add_ends(step.m_step.m_step);
    for (const int earlier : job.step(step.m_step).m_depends_on)
    {
        add_ends(earlier);
    }
    return since;
}

span planner::expected_duration(const job_entry& job, const task_ref& ref) const
{
    const job_step& step = job.step(ref);
    const active_run& run =
        *job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index].m_active;
    const worker_entry& worker = m_state.m_workers.at(run.m_worker);
    const bool far = !step.m_data_rack.empty() &&
                     worker.m_description.m_rack != step.m_data_rack;
    const bool slower = far || (step.m_same_rack && spans_racks(job, ref));
    const span predicted = job.m_predicted_durations[ref.m_step];
    return slower ? slowed(predicted) : predicted;
}

bool planner::spans_racks(const job_entry& job, const task_ref& ref) const
{
    std::optional<std::string> rack;
    for (const task_entry& task : job.m_tasks[ref.m_repeat][ref.m_step])
    {
        if (!task.m_active)
        {
            continue;
        }
        const worker_entry& worker =
            m_state.m_workers.at(task.m_active->m_worker);
        if (rack && *rack != worker.m_description.m_rack)
        {
            return true;
        }
        rack = worker.m_description.m_rack;
    }
    return false;
}

span planner::slowed(span duration) const
{
    return span(
        static_cast<std::int64_t>(static_cast<double>(duration.count()) *
                                  m_state.m_limits.m_remote_data_slowdown));
}

span planner::expected_time_left_of(const job_entry& job,
                                    const task_ref& ref) const
{
    const active_run& run =
        *job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index].m_active;
    const span elapsed = m_now - run.m_started_at.value_or(run.m_assigned_at);
    return run.m_progress.expected_left(m_now).value_or(
        expected_time_left(elapsed, expected_duration(job, ref)));
}

std::vector<capacity_release>
planner::expected_releases(const worker_entry& worker) const
{
    std::vector<capacity_release> releases;
    for (const task_ref& ref : worker.m_tasks)
    {
        const job_entry* job = m_state.m_jobs.find_task(ref);
        if (job == nullptr || job->step(ref).m_persistent)
        {
            continue;
        }
        const auto& run =
            job->m_tasks[ref.m_repeat][ref.m_step][ref.m_index].m_active;
        // The resources of a run that is being stopped count as free.
        if (!run || run->m_phase == run_phase::stopping)
        {
            continue;
        }
        releases.push_back(
            {expected_time_left_of(*job, ref), job->step(ref).occupied()});
    }
    return releases;
}

span planner::usable_after(const worker_entry& worker) const
{
    span after = std::max(span(0), worker.m_quarantined_until - m_now);
    after = std::max(after, worker.m_trial_until - m_now);
    if (worker.m_silent_since)
    {
        after = std::max(after, m_now - *worker.m_silent_since);
    }
    return after;
}

std::optional<span>
planner::expected_wait(const waiting_step& step, int tasks,
                       const std::vector<const worker_entry*>& workers)
{
    std::vector<worker_forecast> forecasts;
    for (const worker_entry* worker : workers)
    {
        const auto [found, added] =
            m_expected_releases.try_emplace(worker->id());
        if (added)
        {
            found->second = expected_releases(*worker);
        }
        forecasts.push_back({usable_after(*worker),
                             worker->plannable_capacity(), found->second});
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    const std::int64_t most =
        wanted.m_max_per_worker > 0 ? wanted.m_max_per_worker : wanted.m_count;
    return time_until_fit(forecasts, tasks,
                          [&](const resources& free)
                          { return free.fitting(wanted.occupied(), most); });
}

std::map<std::string, std::vector<const worker_entry*>>
planner::expected_workers_by_rack(const waiting_step& step) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::map<std::string, std::vector<const worker_entry*>> by_rack;
    for (const auto& [id, worker] : m_state.m_workers)
    {
        const worker_description& described = worker.m_description;
        if (described.m_pool == step.m_policy.m_pool &&
            has_label(described, wanted.m_required_label) &&
            may_become_usable(worker))
        {
            by_rack[described.m_rack].push_back(&worker);
        }
    }
    return by_rack;
}

std::optional<span> planner::expected_wait_for_rack(const waiting_step& step)
{
    const int gang_size = step.m_job->step(step.m_step).m_count;
    std::optional<span> shortest;
    for (const auto& [rack, workers] : expected_workers_by_rack(step))
    {
        const std::optional<span> wait =
            expected_wait(step, gang_size, workers);
        if (wait && (!shortest || *wait < *shortest))
        {
            shortest = wait;
        }
    }
    return shortest;
}

bool planner::is_better_after_wait(const waiting_step& step,
                                   std::optional<span> wait) const
{
    const span duration = step.m_job->m_predicted_durations[step.m_step.m_step];
    return ends_sooner_after_wait({wait, m_now - ready_since(step), duration,
                                   m_state.m_limits.m_remote_data_slowdown});
}

bool planner::is_idle_beside_room(const waiting_step& step) const
{
    if (step.m_job->m_idleness.lasts(m_now) < max_wait_in_idle_pool ||
        !is_pool_mostly_idle(step.m_policy.m_pool))
    {
        return false;
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    const int tasks = room_for_two * (wanted.m_gang ? wanted.m_count : 1);
    int missing = tasks;
    for (const worker_entry* worker : m_index.pool(step.m_policy.m_pool))
    {
        if (is_eligible(*worker, step))
        {
            missing -= fitting_up_to(tasks, *worker, step,
                                     worker->plannable_capacity());
        }
        if (missing <= 0)
        {
            return true;
        }
    }
    return false;
}

bool planner::is_pool_mostly_idle(const std::string& pool) const
{
    resources free;
    resources capacity;
    for (const auto& [id, worker] : m_state.m_workers)
    {
        if (worker.m_listed && worker.m_description.m_pool == pool)
        {
            free += worker.plannable_capacity();
            capacity += worker.m_description.m_capacity;
        }
    }
    return is_over_half(free.m_cpu_millis, capacity.m_cpu_millis) &&
           is_over_half(free.m_memory_mb, capacity.m_memory_mb) &&
           is_over_half(free.m_gpus, capacity.m_gpus);
}

} // namespace kingcuprudder::dispatch
