#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

// The weight of a GPU in cores when lost work is compared.
constexpr double cores_per_gpu = 8;
constexpr double millis = 1000;
constexpr int highest_priority = 0;
// Runs are preempted for an urgent job only if they lose no more work than the
// sum of this many core-milliseconds and this multiple of the job's own work.
constexpr double base_max_lost_work = 400e3;
constexpr double max_lost_work_share = 2.0;
// The time to preempt runs and start in their place.
constexpr span preemption_lead_time = span(1500);
// The approximate time that a run loses when it resumes from a checkpoint.
constexpr span checkpoint_lost_time = span(700);

double core_weight(const resources& demand)
{
    return static_cast<double>(demand.m_cpu_millis) / millis +
           cores_per_gpu * static_cast<double>(demand.m_gpus);
}

} // namespace

// Preemption of other runs for urgent and persistent tasks.

bool planner::may_reclaim(const waiting_step& step) const
{
    return step.m_persistent ||
           (step.m_policy.m_priority == highest_priority && !step.m_expired);
}

bool planner::guarantee_is_due(const waiting_step& step) const
{
    const instant reclaim_by =
        step.m_job->m_accepted_at + m_state.m_limits.m_reclaim_bound;
    return step.m_guaranteed && m_now + preemption_lead_time >= reclaim_by;
}

double planner::max_lost_work(const waiting_step& step) const
{
    if (guarantee_is_due(step) || step.m_persistent)
    {
        return std::numeric_limits<double>::max();
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    const double own_work =
        core_weight(wanted.m_demand) * wanted.m_count *
        static_cast<double>(
            step.m_job->m_predicted_durations[step.m_step.m_step].count());
    return base_max_lost_work + own_work * max_lost_work_share;
}

double planner::lost_work_of(const job_entry& job, const task_ref& ref) const
{
    const job_step& step = job.step(ref);
    const task_entry& task = job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index];
    span worked = task.m_active->m_started_at
                      ? m_now - *task.m_active->m_started_at
                      : span(0);
    if (step.m_writes_checkpoints)
    {
        worked = std::min(worked, checkpoint_lost_time);
    }
    const int members = step.m_gang ? step.m_count : 1;
    return core_weight(step.m_demand) * static_cast<double>(worked.count()) *
           members;
}

double planner::added_lost_work(const std::vector<victim>& chosen,
                                const victim& next)
{
    // The members of a gang end together, so the first victim already counts
    // the lost work of all.
    const bool already_counted =
        next.m_job->step(next.m_task).m_gang &&
        std::any_of(
            chosen.begin(), chosen.end(),
            [&](const victim& other)
            { return other.m_task.step_str() == next.m_task.step_str(); });
    return already_counted ? 0 : next.m_lost_work;
}

bool planner::is_stoppable(const job_entry& job, const task_ref& ref)
{
    const task_entry& task = job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index];
    const run_phase phase = task.m_active->m_phase;
    return (phase == run_phase::confirmed || phase == run_phase::assigned) &&
           job.m_policy.m_priority > highest_priority &&
           job.step(ref).m_max_unavailable == 0;
}

const std::vector<planner::victim>&
planner::victims_on(const worker_entry& worker)
{
    const auto [found, added] = m_victims.try_emplace(worker.id());
    std::vector<victim>& victims = found->second;
    if (!added)
    {
        return victims;
    }
    for (const task_ref& ref : worker.m_tasks)
    {
        job_entry* job = m_state.m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active)
        {
            continue;
        }
        if (is_stoppable(*job, ref) && !job->step(ref).m_persistent)
        {
            victims.push_back({job, ref, lost_work_of(*job, ref)});
        }
    }
    std::sort(victims.begin(), victims.end(),
              [](const victim& left, const victim& right)
              {
                  return std::tuple(left.m_lost_work, left.m_task) <
                         std::tuple(right.m_lost_work, right.m_task);
              });
    return victims;
}

std::optional<planner::priced_victims>
planner::cheapest_victims(const worker_entry& worker, resources missing,
                          const std::vector<victim>& required)
{
    std::vector<victim> chosen;
    double lost_work = 0;
    const auto choose = [&](const victim& each)
    {
        missing -= each.m_job->step(each.m_task).occupied();
        lost_work += added_lost_work(chosen, each);
        chosen.push_back(each);
    };
    std::for_each(required.begin(), required.end(), choose);
    for (const victim& each : victims_on(worker))
    {
        if (resources().covers(missing))
        {
            break;
        }
        const bool is_required =
            std::any_of(required.begin(), required.end(),
                        [&each](const victim& other)
                        { return other.m_task == each.m_task; });
        if (!is_required)
        {
            choose(each);
        }
    }
    if (!resources().covers(missing))
    {
        return std::nullopt;
    }
    return std::pair(chosen, lost_work);
}

bool planner::can_move(job_entry& job, const task_ref& ref) const
{
    if (job.step(ref).m_gang)
    {
        return false;
    }
    waiting_step moved;
    moved.m_job = &job;
    moved.m_step = ref;
    moved.m_policy = job.m_policy;
    const std::string& present = job.task(ref).m_active->m_worker;
    const worker_index::workers& workers = m_index.pool(moved.m_policy.m_pool);
    return std::any_of(workers.begin(), workers.end(),
                       [&](const worker_entry* other)
                       {
                           return other->id() != present &&
                                  fitting_tasks(*other, moved,
                                                other->plannable_capacity()) >
                                      0 &&
                                  is_eligible(*other, moved);
                       });
}

std::optional<std::vector<planner::victim>>
planner::interfering_victims(const worker_entry& worker,
                             const waiting_step& step) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::vector<victim> victims;
    if (interfering_tasks(worker, wanted) == 0)
    {
        return victims;
    }
    for (const task_ref& ref : worker.m_tasks)
    {
        job_entry* job = m_state.m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active ||
            !interfere(job->step(ref), wanted) ||
            job->task(ref).m_active->m_phase == run_phase::stopping)
        {
            continue;
        }
        const job_step& other = job->step(ref);
        if (!other.m_uses_idle_cpu || !is_stoppable(*job, ref) ||
            (other.m_persistent && !can_move(*job, ref)))
        {
            return std::nullopt;
        }
        victims.push_back({job, ref, lost_work_of(*job, ref)});
    }
    return victims;
}

std::optional<planner::priced_victims>
planner::victims_for_task(const worker_entry& worker, const waiting_step& step)
{
    const std::optional<std::vector<victim>> interfering =
        interfering_victims(worker, step);
    if (!interfering && !step.m_overdue)
    {
        return std::nullopt;
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    return cheapest_victims(
        worker, worker.plannable_capacity().missing_for(wanted.occupied()),
        interfering.value_or(std::vector<victim>()));
}

void planner::preempt(const std::vector<victim>& victims,
                      const waiting_step& step)
{
    std::set<std::string> changed;
    for (const victim& each : victims)
    {
        // Before the stop, as a run that was not sent yet is released by it.
        changed.merge(workers_changed_by(each));
        m_state.begin_stopping(*each.m_job, each.m_task,
                               "room for " + step.m_step.step_str(), m_now);
    }
    for (const std::string& id : changed)
    {
        m_victims.erase(id);
        m_expected_releases.erase(id);
        m_index.update(m_state.find_or_add_worker(id));
    }
    m_index.clear_failures();
}

std::set<std::string> planner::workers_changed_by(const victim& preempted)
{
    // Preempting a member of a gang may release or stop its other members.
    const bool gang = preempted.m_job->step(preempted.m_task).m_gang;
    const task_entry& chosen = preempted.m_job->task(preempted.m_task);
    std::set<std::string> workers;
    for (const task_entry& task : preempted.m_job->step_tasks(preempted.m_task))
    {
        if (task.m_active && (gang || &task == &chosen))
        {
            workers.insert(task.m_active->m_worker);
        }
    }
    return workers;
}

bool planner::reclaim_for_task(waiting_step& step)
{
    const bool only_near = prefers_data_rack(step);
    std::optional<priced_victims> best;
    for (const worker_entry* worker : m_index.pool(step.m_policy.m_pool))
    {
        if (fitting_tasks(*worker, step, worker->m_description.m_capacity) ==
                0 ||
            !is_eligible_alone(*worker, step) ||
            (only_near && is_far(*worker, step)))
        {
            continue;
        }
        auto found = victims_for_task(*worker, step);
        if (found && (!best || found->second < best->second))
        {
            best = std::move(found);
        }
    }
    if (!best || best->second > max_lost_work(step))
    {
        return false;
    }
    preempt(best->first, step);
    return true;
}

bool planner::reclaim_for_gang(waiting_step& step, bool across)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::vector<victim> best;
    double least_lost_work = max_lost_work(step);
    for (const worker_index::workers* domain : gang_domains(step, across))
    {
        std::vector<std::pair<double, std::vector<victim>>> candidates;
        int missing = wanted.m_count;
        for (const worker_entry* worker : *domain)
        {
            if (!is_eligible(*worker, step))
            {
                continue;
            }
            const int free =
                fitting_tasks(*worker, step, worker->plannable_capacity());
            missing -= std::min(missing, free);
            resources needed = wanted.occupied() * (free + 1);
            // Each further member on this worker adds a candidate: the lost
            // work and the victims to preempt.
            for (int more = 1; more <= wanted.m_count; ++more)
            {
                auto found = cheapest_victims(
                    *worker, worker->plannable_capacity().missing_for(needed));
                if (!found || fitting_tasks(*worker, step,
                                            worker->m_description.m_capacity) <
                                  free + more)
                {
                    break;
                }
                candidates.emplace_back(found->second, found->first);
                needed += wanted.occupied();
            }
        }
        if (static_cast<int>(candidates.size()) < missing)
        {
            continue;
        }
        std::sort(candidates.begin(), candidates.end(),
                  [](const auto& left, const auto& right)
                  { return left.first < right.first; });
        std::vector<victim> chosen;
        double lost_work = 0;
        for (int taken = 0; taken < missing; ++taken)
        {
            for (const victim& each : candidates[taken].second)
            {
                const bool already_chosen =
                    std::any_of(chosen.begin(), chosen.end(),
                                [&](const victim& other)
                                { return other.m_task == each.m_task; });
                if (!already_chosen)
                {
                    lost_work += added_lost_work(chosen, each);
                    chosen.push_back(each);
                }
            }
        }
        if (lost_work <= least_lost_work)
        {
            least_lost_work = lost_work;
            best = std::move(chosen);
        }
    }
    if (best.empty())
    {
        return false;
    }
    preempt(best, step);
    const std::vector<gang_share> shares = best_gang_shares(step, across);
    if (!shares.empty())
    {
        assign_gang(step, shares);
        return true;
    }
    return false;
}

} // namespace kingcuprudder::dispatch
