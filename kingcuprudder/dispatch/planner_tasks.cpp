#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

// Suspected tasks are started together on a worker if it is unlikely that one
// of them crashes it. A task with more suspicion is started alone.
constexpr double max_trial_suspicion = 0.25;
// A worker that is silent for longer is probably lost.
constexpr span max_wait_for_silent_worker = span(5000);

} // namespace

// Which workers suit a step, and the placement of single tasks.

bool planner::has_label(const worker_description& worker,
                        const std::string& label)
{
    return label.empty() ||
           std::find(worker.m_labels.begin(), worker.m_labels.end(), label) !=
               worker.m_labels.end();
}

bool planner::is_eligible(const worker_entry& worker,
                          const waiting_step& step) const
{
    return is_eligible_alone(worker, step) &&
           (step.m_overdue ||
            interfering_tasks(worker, step.m_job->step(step.m_step)) == 0);
}

bool planner::is_eligible_alone(const worker_entry& worker,
                                const waiting_step& step) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    return has_label(worker.m_description, wanted.m_required_label) &&
           is_apart_from_suspects(worker, step);
}

bool planner::is_apart_from_suspects(const worker_entry& worker,
                                     const waiting_step& step) const
{
    if (step.m_guaranteed && !step.m_suspected)
    {
        return true;
    }
    if (worker.m_trial_until > m_now)
    {
        return step.m_suspected &&
               (step.m_overdue || worker.m_trial_suspicion + step.m_suspicion <=
                                      max_trial_suspicion);
    }
    if (step.m_suspected && !step.m_guaranteed && !step.m_overdue &&
        !may_begin_trial(step.m_policy.m_pool))
    {
        return false;
    }
    // Persistent tasks restart at once, even if a crash then shows less.
    return !step.m_wants_quiet_worker || step.m_persistent || is_quiet(worker);
}

bool planner::may_begin_trial(const std::string& pool) const
{
    const auto trials = m_trials.find(pool);
    const std::size_t workers = m_index.pool(pool).size();
    return trials == m_trials.end() || trials->second < (workers + 1) / 2;
}

bool planner::is_quiet(const worker_entry& worker) const
{
    return worker.m_reserved == resources() &&
           m_now - worker.m_last_start_at > crash_after_start;
}

bool planner::needs_only_free_capacity(const waiting_step& step)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    return wanted.m_max_per_worker == 0 && !wanted.m_uses_idle_cpu &&
           wanted.m_target_latency == span(0) && !step.m_suspected;
}

std::int64_t planner::packing_rank(const waiting_step& step,
                                   std::int64_t free_gpus)
{
    return step.m_suspected ? -free_gpus : free_gpus;
}

bool planner::interfere(const job_step& left, const job_step& right)
{
    const span none = span(0);
    return (left.m_uses_idle_cpu && right.m_target_latency > none) ||
           (right.m_uses_idle_cpu && left.m_target_latency > none);
}

int planner::interfering_tasks(const worker_entry& worker,
                               const job_step& wanted) const
{
    if (!wanted.m_uses_idle_cpu && wanted.m_target_latency == span(0))
    {
        return 0;
    }
    return static_cast<int>(std::count_if(
        worker.m_tasks.begin(), worker.m_tasks.end(),
        [&](const task_ref& ref)
        {
            job_entry* job = m_state.m_jobs.find_task(ref);
            return job != nullptr && interfere(job->step(ref), wanted) &&
                   !(job->task(ref).m_active &&
                     job->task(ref).m_active->m_phase == run_phase::stopping);
        }));
}

bool planner::is_last_choice(const worker_entry& worker,
                             const waiting_step& step) const
{
    return m_state.m_failures.failed_recently(worker.id(), m_now) ||
           worker.plannable_capacity().is_exceeded() ||
           (step.m_suspected &&
            (m_state.is_unreliable(worker, m_now) ||
             step.m_lost_racks.contains(worker.m_description.m_rack) ||
             step.m_lost_addresses.contains(worker.m_description.m_address)));
}

capacity_request planner::capacity_request_of(const waiting_step& step,
                                              int count, bool one_rack)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    return {step.m_policy.m_pool, wanted.m_required_label, wanted.occupied(),
            count, one_rack};
}

int planner::tasks_on_worker(const worker_entry& worker,
                             const waiting_step& step) const
{
    const auto first = worker.m_tasks.lower_bound(step.m_step);
    int count = 0;
    for (auto each = first;
         each != worker.m_tasks.end() && each->m_job == step.m_step.m_job &&
         each->m_repeat == step.m_step.m_repeat &&
         each->m_step == step.m_step.m_step;
         ++each)
    {
        ++count;
    }
    return count;
}

int planner::fitting_tasks(const worker_entry& worker, const waiting_step& step,
                           const resources& free) const
{
    return fitting_up_to(step.m_job->step(step.m_step).m_count, worker, step,
                         free);
}

int planner::fitting_up_to(int most, const worker_entry& worker,
                           const waiting_step& step,
                           const resources& free) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::int64_t fitting = free.fitting(wanted.occupied(), most);
    if (wanted.m_max_per_worker > 0)
    {
        fitting = std::min<std::int64_t>(
            fitting, wanted.m_max_per_worker - tasks_on_worker(worker, step));
    }
    return static_cast<int>(std::max<std::int64_t>(0, fitting));
}

bool planner::is_far(const worker_entry& worker, const waiting_step& step)
{
    const std::string& rack = step.m_job->step(step.m_step).m_data_rack;
    return !rack.empty() && worker.m_description.m_rack != rack &&
           !step.m_lost_racks.contains(rack);
}

bool planner::may_become_usable(const worker_entry& worker) const
{
    const bool silent_shortly =
        worker.m_silent_since &&
        m_now - *worker.m_silent_since < max_wait_for_silent_worker;
    return worker.m_listed && !worker.m_description.m_draining &&
           (worker.m_reachable || silent_shortly);
}

bool planner::prefers_data_rack(const waiting_step& step) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    if (wanted.m_data_rack.empty() || step.m_late || step.m_overdue)
    {
        return false;
    }
    // Outside the rack of its data a task takes several times as long.
    return std::any_of(
        m_state.m_workers.begin(), m_state.m_workers.end(),
        [&](const auto& each)
        {
            const worker_description& described = each.second.m_description;
            return described.m_rack == wanted.m_data_rack &&
                   described.m_pool == step.m_policy.m_pool &&
                   has_label(described, wanted.m_required_label) &&
                   described.m_capacity.covers(wanted.occupied()) &&
                   may_become_usable(each.second);
        });
}

bool planner::waits_for_data_rack(const waiting_step& step)
{
    if (!prefers_data_rack(step) || is_idle_beside_room(step))
    {
        return false;
    }
    // Runs near the data are preempted for it first.
    if (may_reclaim(step))
    {
        return true;
    }
    const std::string& rack = step.m_job->step(step.m_step).m_data_rack;
    const auto by_rack = expected_workers_by_rack(step);
    const auto near = by_rack.find(rack);
    return near != by_rack.end() &&
           is_better_after_wait(step, expected_wait(step, 1, near->second));
}

worker_entry* planner::best_worker(const waiting_step& step)
{
    const capacity_request request = capacity_request_of(step, 1, false);
    if (m_index.has_failed(request))
    {
        return nullptr;
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    using rank = std::tuple<int, bool, bool, std::int64_t, std::int64_t>;
    worker_entry* best = nullptr;
    rank best_rank;
    const worker_index::workers_by_gpus& by_gpus =
        m_index.by_gpus(step.m_policy.m_pool);
    const std::int64_t gpus = wanted.occupied().m_gpus;
    for (auto group = gpus > 0 ? by_gpus.lower_bound(gpus) : by_gpus.begin();
         group != by_gpus.end(); ++group)
    {
        // A worker with more free GPUs ranks after one that is neither far nor
        // failing, and on which nothing interferes.
        if (best != nullptr && !step.m_suspected &&
            std::get<0>(best_rank) == 0 && !std::get<1>(best_rank) &&
            !std::get<2>(best_rank))
        {
            break;
        }
        for (worker_entry* worker : group->second)
        {
            if (fitting_tasks(*worker, step, worker->plannable_capacity()) ==
                    0 ||
                !is_eligible(*worker, step))
            {
                continue;
            }
            const resources left =
                worker->plannable_capacity() - wanted.occupied();
            const rank found(
                interfering_tasks(*worker, wanted), is_far(*worker, step),
                is_last_choice(*worker, step), packing_rank(step, left.m_gpus),
                packing_rank(step, left.m_cpu_millis));
            if (best == nullptr || found < best_rank)
            {
                best = worker;
                best_rank = found;
            }
        }
    }
    if (best == nullptr && needs_only_free_capacity(step))
    {
        m_index.record_failure(request);
    }
    const bool waits =
        best != nullptr && is_far(*best, step) && waits_for_data_rack(step);
    return waits ? nullptr : best;
}

void planner::place_tasks(waiting_step& step)
{
    for (const int index : step.m_waiting)
    {
        task_ref ref = step.m_step;
        ref.m_index = index;
        if (!leaves_urgent_headroom(step, 1))
        {
            log_suspected_wait(step);
            return;
        }
        worker_entry* worker = best_worker(step);
        if (worker == nullptr)
        {
            if (!may_reclaim(step) || !reclaim_for_task(step))
            {
                log_suspected_wait(step);
                return;
            }
            worker = best_worker(step);
            if (worker == nullptr)
            {
                log_suspected_wait(step);
                return;
            }
        }
        const int run = step.m_job->task(ref).m_progress.m_last_run + 1;
        assign(step, ref, *worker, run);
    }
}

} // namespace kingcuprudder::dispatch
