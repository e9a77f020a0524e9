#include <kingcuprudder/dispatch/drain_move.hpp>
#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

/// Returns how many members of a gang that is placed anew fit on one worker, up
/// to `most`. The present members do not count, as all of them are stopped.
int members_that_fit(const job_step& step, const resources& free, int most)
{
    const int limit = step.m_max_per_worker > 0
                          ? std::min(most, step.m_max_per_worker)
                          : most;
    return static_cast<int>(free.fitting(step.occupied(), limit));
}

} // namespace

// Moves work off workers that drain. A run that is stopped while its worker
// answers ends at once and keeps its checkpoint; one that ends with its worker
// is lost, and when it ended must be found out.

void planner::move_runs_off_draining_workers()
{
    claim_room_for_moving_runs();
    for (auto& [id, worker] : m_state.m_workers)
    {
        if (!worker.m_listed || !worker.m_description.m_draining ||
            !worker.m_reachable || !worker.m_synced ||
            worker.m_entry.m_incarnation != worker.m_incarnation)
        {
            continue;
        }
        // Stopping the members of a gang changes the set.
        const std::set<task_ref> tasks = worker.m_tasks;
        for (const task_ref& ref : tasks)
        {
            job_entry* job = m_state.m_jobs.find_task(ref);
            if (job != nullptr && can_be_moved(*job, ref))
            {
                consider_move(worker, *job, ref);
            }
        }
    }
}

void planner::claim_room_for_moving_runs()
{
    for (const auto& [id, worker] : m_state.m_workers)
    {
        for (const task_ref& ref : worker.m_tasks)
        {
            job_entry* job = m_state.m_jobs.find_task(ref);
            if (job != nullptr && job->task(ref).m_active &&
                job->task(ref).m_active->m_moves)
            {
                claim_room_to_move(*job, ref);
            }
        }
    }
}

bool planner::can_be_moved(job_entry& job, const task_ref& ref)
{
    const job_step& step = job.step(ref);
    const auto runs = [](const task_entry& task)
    {
        return task.m_active &&
               task.m_active->m_phase == run_phase::confirmed &&
               !task.m_progress.m_crashes.any();
    };
    if (!step.m_gang)
    {
        return runs(job.task(ref));
    }
    // The members of a persistent gang on other workers would be interrupted
    // before they have to be.
    const std::vector<task_entry>& members = job.step_tasks(ref);
    return !step.m_persistent &&
           std::all_of(members.begin(), members.end(), runs);
}

void planner::consider_move(const worker_entry& worker, job_entry& job,
                            const task_ref& ref)
{
    const job_step& step = job.step(ref);
    const active_run& active = *job.task(ref).m_active;
    job.refresh_prediction(m_state.m_durations, m_now);
    draining_run run;
    run.m_predicted = job.m_predicted_durations[ref.m_step];
    if (active.m_first_sent_at && active.m_started_at &&
        active.m_start_checkpoint.empty())
    {
        run.m_at_work = m_now - *active.m_started_at;
    }
    run.m_percent = active.m_percent;
    run.m_writes_checkpoints = step.m_writes_checkpoints;
    run.m_persistent = step.m_persistent;
    run.m_drain_left = worker.drain_left(m_now);
    if (!should_move(run) || !claim_room_to_move(job, ref))
    {
        return;
    }
    m_state.m_log("run_moves", ref.str(),
                  {{"run", number(active.m_number)},
                   {"worker", worker.id()},
                   {"percent", number(run.m_percent)},
                   {"remaining_ms", number(remaining_time(run).count())},
                   {"drain_left_ms", number(run.m_drain_left.count())}});
    // One member claims the room for its gang.
    job.task(ref).m_active->m_moves = true;
    const std::string reason = "worker drains";
    m_state.begin_stopping(job, ref, reason, m_now);
    if (step.m_gang)
    {
        m_state.stop_gang_members(job, ref, reason, m_now);
    }
}

bool planner::claim_room_to_move(job_entry& job, const task_ref& ref)
{
    waiting_step moved;
    moved.m_job = &job;
    moved.m_step = ref;
    moved.m_policy = job.m_policy;
    moved.m_persistent = job.step(ref).m_persistent;
    const bool gang = job.step(ref).m_gang;
    const int count = gang ? job.step(ref).m_count : 1;
    if (!leaves_urgent_headroom(moved, count))
    {
        return false;
    }
    const auto claims = [&](const worker_index::workers& candidates)
    { return claim_room_on(candidates, moved, count); };
    const auto& racks = m_index.racks(moved.m_policy.m_pool);
    const bool claimed = gang && job.step(ref).m_same_rack
                             ? std::any_of(racks.begin(), racks.end(),
                                           [&claims](const auto& rack)
                                           { return claims(rack.second); })
                             : claims(m_index.pool(moved.m_policy.m_pool));
    if (claimed)
    {
        m_free_gpus[moved.m_policy.m_pool] -=
            job.step(ref).m_demand.m_gpus * count;
    }
    return claimed;
}

bool planner::claim_room_on(const worker_index::workers& candidates,
                            const waiting_step& moved, int count)
{
    const job_step& wanted = moved.m_job->step(moved.m_step);
    const bool is_at_work =
        wanted.m_gang && moved.m_job->task(moved.m_step).m_active->m_phase ==
                             run_phase::confirmed;
    std::map<std::string, int> shares;
    int missing = count;
    for (const worker_entry* worker : candidates)
    {
        if (missing == 0)
        {
            break;
        }
        if (!is_eligible(*worker, moved) || is_far(*worker, moved))
        {
            continue;
        }
        // All members of a gang at work are to be stopped, also those on this
        // worker. Those that are being stopped already count as free.
        const int own = is_at_work ? tasks_on_worker(*worker, moved) : 0;
        const resources free = worker->plannable_capacity() +
                               wanted.occupied() * own -
                               m_claimed[worker->id()];
        const int share =
            wanted.m_gang
                ? members_that_fit(wanted, free, missing)
                : std::min(missing, fitting_tasks(*worker, moved, free));
        shares[worker->id()] = share;
        missing -= share;
    }
    if (missing > 0)
    {
        return false;
    }
    for (const auto& [id, share] : shares)
    {
        m_claimed[id] += wanted.occupied() * share;
    }
    return true;
}

} // namespace kingcuprudder::dispatch
