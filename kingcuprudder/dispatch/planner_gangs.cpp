#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <tuple>

namespace kingcuprudder::dispatch
{

// The placement of gangs, whose tasks start together.

bool planner::is_pressing(const waiting_step& step) const
{
    return step.m_overdue || guarantee_is_due(step) ||
           (step.m_late && may_reclaim(step));
}

bool planner::spans_racks_now(const waiting_step& step)
{
    return !step.m_job->step(step.m_step).m_same_rack || is_pressing(step) ||
           is_idle_beside_room(step) ||
           !is_better_after_wait(step, expected_wait_for_rack(step));
}

bool planner::may_reclaim_across_racks(const waiting_step& step)
{
    return !step.m_job->step(step.m_step).m_same_rack || is_pressing(step) ||
           !expected_wait_for_rack(step);
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

bool planner::place_in_one_rack(waiting_step& step)
{
    if (!step.m_job->step(step.m_step).m_same_rack)
    {
        return false;
    }
    const std::vector<gang_share> shares = best_gang_shares(step, false);
    if (!shares.empty())
    {
        assign_gang(step, shares);
        return true;
    }
    return may_reclaim(step) && !may_reclaim_across_racks(step) &&
           reclaim_for_gang(step, false);
}

bool planner::place_across_racks(waiting_step& step)
{
    const std::vector<gang_share> shares = best_gang_shares(step, true);
    if (!shares.empty() && spans_racks_now(step))
    {
        assign_gang(step, shares);
        return true;
    }
    return may_reclaim(step) && may_reclaim_across_racks(step) &&
           reclaim_for_gang(step, true);
}

void planner::place_gang(waiting_step& step)
{
    const int gang_size = step.m_job->step(step.m_step).m_count;
    if (!leaves_urgent_headroom(step, gang_size) ||
        (!place_in_one_rack(step) && !place_across_racks(step)))
    {
        log_suspected_wait(step);
    }
}

} // namespace kingcuprudder::dispatch
