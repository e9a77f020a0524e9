#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

/// Adds the resources of the job's persistent runs, by worker.
void add_persistent_runs(const job_entry& job,
                         std::map<std::string, resources>& held)
{
    for (const auto& repeat : job.m_tasks)
    {
        for (std::size_t index = 0; index < repeat.size(); ++index)
        {
            const job_step& step = job.m_submission.m_steps[index];
            for (const task_entry& task : repeat[index])
            {
                if (step.m_persistent && task.m_active)
                {
                    held[task.m_active->m_worker] += step.occupied();
                }
            }
        }
    }
}

} // namespace

// The placement of gangs, whose tasks start together.

bool planner::may_span_racks(const waiting_step& step)
{
    return !step.m_job->step(step.m_step).m_same_rack || step.m_late ||
           step.m_overdue || guarantee_is_due(step) ||
           (!fits_some_usable_rack(step) && !fits_some_rack(step));
}

std::vector<const worker_index::workers*>
planner::gang_domains(const waiting_step& step, bool across)
{
    std::vector<const worker_index::workers*> domains;
    if (step.m_job->step(step.m_step).m_same_rack)
    {
        for (const auto& [rack, workers] : m_index.racks(step.m_policy.m_pool))
        {
            domains.push_back(&workers);
        }
    }
    if (across)
    {
        domains.push_back(&m_index.pool(step.m_policy.m_pool));
    }
    return domains;
}

const std::map<std::string, resources>& planner::held_by_persistent()
{
    if (!m_held_by_persistent)
    {
        m_held_by_persistent.emplace();
        for (const auto& [id, job] : m_state.m_jobs.jobs())
        {
            add_persistent_runs(job, *m_held_by_persistent);
        }
    }
    return *m_held_by_persistent;
}

int planner::fitting_beside_persistent(const worker_entry& worker,
                                       const waiting_step& step)
{
    const std::string& label = step.m_job->step(step.m_step).m_required_label;
    if (!has_label(worker.m_description, label))
    {
        return 0;
    }
    const std::map<std::string, resources>& held = held_by_persistent();
    const auto found = held.find(worker.id());
    const resources taken = found == held.end() ? resources() : found->second;
    return fitting_tasks(worker, step, worker.m_description.m_capacity - taken);
}

bool planner::fits_some_usable_rack(const waiting_step& step)
{
    const int wanted = step.m_job->step(step.m_step).m_count;
    for (const auto& [rack, workers] : m_index.racks(step.m_policy.m_pool))
    {
        int fitting = 0;
        for (const worker_entry* worker : workers)
        {
            fitting += fitting_beside_persistent(*worker, step);
            if (fitting >= wanted)
            {
                return true;
            }
        }
    }
    return false;
}

bool planner::fits_some_rack(const waiting_step& step)
{
    std::map<std::string, int> capacity_by_rack;
    for (const auto& [id, worker] : m_state.m_workers)
    {
        if (worker.m_listed &&
            worker.m_description.m_pool == step.m_policy.m_pool)
        {
            capacity_by_rack[worker.m_description.m_rack] +=
                fitting_beside_persistent(worker, step);
        }
    }
    return std::any_of(
        capacity_by_rack.begin(), capacity_by_rack.end(),
        [&](const auto& each)
        { return each.second >= step.m_job->step(step.m_step).m_count; });
}

std::vector<planner::gang_share>
planner::gang_shares(const waiting_step& step,
                     const worker_index::workers& candidates)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    using rank = std::tuple<int, bool, std::int64_t>;
    std::vector<std::tuple<rank, worker_entry*, int>> ranked;
    int total = 0;
    for (worker_entry* worker : candidates)
    {
        const int fitting =
            fitting_tasks(*worker, step, worker->plannable_capacity());
        if (fitting > 0 && is_eligible(*worker, step))
        {
            ranked.emplace_back(
                rank(interfering_tasks(*worker, wanted),
                     is_last_choice(*worker, step),
                     packing_rank(step, worker->plannable_capacity().m_gpus)),
                worker, fitting);
            total += fitting;
        }
    }
    if (total < wanted.m_count)
    {
        return {};
    }
    std::sort(
        ranked.begin(), ranked.end(),
        [](const auto& left, const auto& right)
        {
            return std::tuple(std::get<0>(left), std::get<1>(left)->id()) <
                   std::tuple(std::get<0>(right), std::get<1>(right)->id());
        });
    std::vector<gang_share> shares;
    int missing = wanted.m_count;
    for (const auto& [order, worker, fitting] : ranked)
    {
        if (missing == 0)
        {
            break;
        }
        const int taken = std::min(fitting, missing);
        shares.emplace_back(worker, taken);
        missing -= taken;
    }
    return shares;
}

void planner::assign_gang(waiting_step& step,
                          const std::vector<gang_share>& shares)
{
    int run = 0;
    for (const task_entry& task : step.m_job->step_tasks(step.m_step))
    {
        run = std::max(run, task.m_progress.m_last_run);
    }
    // All members resume from the same checkpoint.
    std::string checkpoint;
    for (const task_entry& task : step.m_job->step_tasks(step.m_step))
    {
        if (!task.m_progress.m_checkpoint.empty())
        {
            checkpoint = task.m_progress.m_checkpoint;
            break;
        }
    }
    task_ref ref = step.m_step;
    for (const auto& [worker, count] : shares)
    {
        for (int member = 0; member < count; ++member)
        {
            step.m_job->task(ref).m_progress.m_checkpoint = checkpoint;
            assign(step, ref, *worker, run + 1);
            ++ref.m_index;
        }
    }
    // The start waits until a record with all members is stored.
    for (task_entry& task : step.m_job->step_tasks(step.m_step))
    {
        task.m_active->m_required_version = step.m_job->m_version;
    }
}

std::vector<planner::gang_share>
planner::best_gang_shares(const waiting_step& step, bool across)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    const capacity_request request =
        capacity_request_of(step, wanted.m_count, !across);
    if (m_index.has_failed(request))
    {
        return {};
    }
    std::vector<gang_share> best;
    for (const worker_index::workers* domain : gang_domains(step, across))
    {
        std::vector<gang_share> shares = gang_shares(step, *domain);
        if (!shares.empty() && (best.empty() || shares.size() < best.size()))
        {
            best = std::move(shares);
        }
    }
    if (best.empty() && needs_only_free_capacity(step))
    {
        m_index.record_failure(request);
    }
    return best;
}

void planner::place_gang(waiting_step& step)
{
    if (!leaves_urgent_headroom(step, step.m_job->step(step.m_step).m_count))
    {
        log_suspected_wait(step);
        return;
    }
    const bool across = may_span_racks(step);
    std::vector<gang_share> best;
    if (step.m_overdue && step.m_job->step(step.m_step).m_same_rack)
    {
        best = best_gang_shares(step, false);
    }
    if (best.empty())
    {
        best = best_gang_shares(step, across);
    }
    if (!best.empty())
    {
        assign_gang(step, best);
        return;
    }
    log_suspected_wait(step);
    if (may_reclaim(step))
    {
        reclaim_for_gang(step, across);
    }
}

} // namespace kingcuprudder::dispatch
