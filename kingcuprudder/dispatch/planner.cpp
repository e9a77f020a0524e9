#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

// A job expires, and yields no credit, after this many times its objective.
constexpr int late_factor = 3;
// Workers with a failure within this time are used after all others.
constexpr span recent_failure_period = span(8000);

// A suspected task waits this long for a worker without other new runs. On a
// busy pool there may be none.
constexpr span max_wait_for_quiet_worker = span(3000);

// The weight of capacity for jobs of priority 0 and of 2 and above, relative to
// priority 1, and the factor by which it drops once a job is late.
constexpr double urgent_weight = 10;
constexpr double background_weight = 0.35;
constexpr double late_weight_factor = 0.2;

double capacity_weight(const waiting_step& step)
{
    const int priority = step.m_policy.m_priority;
    const double weight = priority == 0   ? urgent_weight
                          : priority == 1 ? 1
                                          : background_weight / (priority - 1);
    return weight * (step.m_late ? late_weight_factor : 1);
}

bool has_label(const worker_description& worker, const std::string& label)
{
    return label.empty() ||
           std::find(worker.m_labels.begin(), worker.m_labels.end(), label) !=
               worker.m_labels.end();
}

/// Returns the number of GPUs of the job's active runs.
std::int64_t active_gpus(const job_entry& job)
{
    std::int64_t gpus = 0;
    for (const auto& repeat : job.m_tasks)
    {
        for (std::size_t step = 0; step < repeat.size(); ++step)
        {
            gpus += job.m_submission.m_steps[step].m_demand.m_gpus *
                    std::count_if(repeat[step].begin(), repeat[step].end(),
                                  [](const task_entry& task)
                                  { return task.m_active.has_value(); });
        }
    }
    return gpus;
}

} // namespace

bool precedes(const waiting_step& left, const waiting_step& right)
{
    const auto rank = [](const waiting_step& step)
    {
        return std::tuple(!step.m_guaranteed, !step.m_persistent,
                          step.m_expired, -capacity_weight(step),
                          step.m_objective, step.m_step);
    };
    return rank(left) < rank(right);
}

planner::planner(dispatcher& state, instant now, instant wall_now)
    : m_state(state), m_now(now), m_wall_now(wall_now)
{
}

void planner::run()
{
    index_workers();
    std::vector<waiting_step> steps = collect();
    std::stable_sort(steps.begin(), steps.end(), precedes);
    count_free_capacity();
    for (waiting_step& step : steps)
    {
        if (step.m_job->step(step.m_step).m_gang)
        {
            place_gang(step);
        }
        else
        {
            place_tasks(step);
        }
    }
}

void planner::count_free_capacity()
{
    std::map<std::string, urgent_headroom::usage> used;
    for (const auto& [id, job] : m_state.m_jobs.jobs())
    {
        if (!is_final(job.m_state) && job.m_policy.m_priority == 0)
        {
            const std::int64_t gpus = active_gpus(job);
            used[job.m_policy.m_pool].m_gpus += static_cast<double>(gpus);
            used[job.m_policy.m_pool].m_jobs += gpus > 0 ? 1 : 0;
        }
    }
    m_state.m_urgent_headroom.update(used, m_now);
    for (const auto& [pool, workers] : m_index.pools())
    {
        std::int64_t& free = m_free_gpus[pool];
        for (const worker_entry* worker : workers.m_all)
        {
            free +=
                std::max<std::int64_t>(0, worker->plannable_capacity().m_gpus);
        }
    }
}

bool planner::leaves_urgent_headroom(const waiting_step& step, int tasks)
{
    const std::int64_t gpus =
        step.m_job->step(step.m_step).m_demand.m_gpus * tasks;
    const std::int64_t headroom =
        m_state.m_urgent_headroom.gpus(step.m_policy.m_pool);
    return headroom == 0 || step.m_policy.m_priority == 0 ||
           step.m_persistent || gpus == 0 ||
           m_free_gpus[step.m_policy.m_pool] - gpus >= headroom;
}

void planner::assign(waiting_step& step, const task_ref& ref,
                     worker_entry& worker, int run)
{
    m_free_gpus[step.m_policy.m_pool] -=
        step.m_job->step(step.m_step).m_demand.m_gpus;
    m_state.assign(*step.m_job, ref, worker, run, m_now);
    m_index.update(worker);
}

void planner::find_accounts_within_guarantee()
{
    std::map<std::string, std::int64_t> guaranteed;
    for (const account_configuration& account :
         m_state.m_configuration.m_accounts)
    {
        guaranteed[account.m_name] = account.m_guaranteed_gpus;
    }
    std::map<std::string, std::int64_t> needed;
    for (const auto& [id, job] : m_state.m_jobs.jobs())
    {
        if (is_final(job.m_state) || job.m_policy.m_priority != 0)
        {
            continue;
        }
        for (const job_step& step : job.m_submission.m_steps)
        {
            needed[job.m_submission.m_account] +=
                step.m_demand.m_gpus * step.m_count;
        }
    }
    for (const auto& [account, gpus] : needed)
    {
        const auto found = guaranteed.find(account);
        if (found != guaranteed.end() && gpus <= found->second)
        {
            m_accounts_within_guarantee.insert(account);
        }
    }
}

std::vector<waiting_step> planner::collect()
{
    find_accounts_within_guarantee();
    std::vector<waiting_step> steps;
    for (auto& [id, job] : m_state.m_jobs.jobs())
    {
        if (!is_final(job.m_state))
        {
            collect_job(job, steps);
        }
    }
    return steps;
}

bool planner::step_is_due(const job_entry& job, int repeat, int step) const
{
    const job_submission& submission = job.m_submission;
    if (submission.m_first_due != instant() &&
        m_wall_now < submission.m_first_due + submission.m_interval * repeat)
    {
        return false;
    }
    for (const int earlier : submission.m_steps[step].m_depends_on)
    {
        for (const task_entry& task : job.m_tasks[repeat][earlier])
        {
            if (!task.m_progress.m_done)
            {
                return false;
            }
        }
    }
    return true;
}

instant planner::objective_start(const job_entry& job, int repeat) const
{
    const job_submission& submission = job.m_submission;
    if (submission.m_first_due == instant())
    {
        return job.m_accepted_at;
    }
    const instant due = submission.m_first_due + submission.m_interval * repeat;
    return std::max(job.m_accepted_at, m_now - (m_wall_now - due));
}

void planner::collect_job(job_entry& job, std::vector<waiting_step>& steps)
{
    for (int repeat = 0; repeat < job.m_submission.m_repeats; ++repeat)
    {
        const int count = static_cast<int>(job.m_submission.m_steps.size());
        for (int index = 0; index < count; ++index)
        {
            waiting_step step;
            const auto& tasks = job.m_tasks[repeat][index];
            for (std::size_t task = 0; task < tasks.size(); ++task)
            {
                if (tasks[task].is_waiting())
                {
                    step.m_waiting.push_back(static_cast<int>(task));
                    const bool suspected =
                        tasks[task].m_progress.m_crashes.any();
                    step.m_suspected = step.m_suspected || suspected;
                    step.m_lost_addresses.insert(
                        tasks[task].m_lost_addresses.begin(),
                        tasks[task].m_lost_addresses.end());
                    step.m_wants_quiet_worker =
                        step.m_wants_quiet_worker ||
                        (suspected && m_now - tasks[task].m_waiting_since <
                                          max_wait_for_quiet_worker);
                }
            }
            const bool whole = step.m_waiting.size() == tasks.size();
            if (step.m_waiting.empty() ||
                (job.m_submission.m_steps[index].m_gang && !whole) ||
                !step_is_due(job, repeat, index))
            {
                continue;
            }
            step.m_job = &job;
            step.m_step = {job.m_submission.m_id, repeat, index, 0};
            job.refresh_prediction(m_state.m_durations, m_now);
            step.m_policy = job.m_policy;
            const span objective =
                span(static_cast<std::int64_t>(
                    static_cast<double>(job.m_critical_path.count()) *
                    step.m_policy.m_stretch)) +
                step.m_policy.m_start_allowance;
            step.m_persistent = job.m_submission.m_steps[index].m_persistent;
            const instant counted_from = objective_start(job, repeat);
            step.m_objective = counted_from + objective;
            const instant end = m_now + job.m_critical_path_from[index];
            step.m_guaranteed = step.m_policy.m_priority == 0 && index == 0 &&
                                m_accounts_within_guarantee.contains(
                                    job.m_submission.m_account);
            step.m_late = !step.m_persistent && end > step.m_objective;
            step.m_expired = !step.m_persistent &&
                             end > counted_from + objective * late_factor;
            steps.push_back(std::move(step));
        }
    }
}

void planner::index_workers()
{
    for (auto& [id, worker] : m_state.m_workers)
    {
        const bool usable = worker.m_listed && worker.m_synced &&
                            worker.m_reachable &&
                            !worker.m_description.m_draining &&
                            worker.m_quarantined_until <= m_now &&
                            !m_state.has_unrecorded_runs(id);
        if (usable)
        {
            m_index.add(worker);
        }
    }
}

bool planner::is_eligible(const worker_entry& worker,
                          const waiting_step& step) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    return has_label(worker.m_description, wanted.m_required_label) &&
           is_apart_from_suspects(worker, step) &&
           !has_interference(worker, wanted);
}

bool planner::is_apart_from_suspects(const worker_entry& worker,
                                     const waiting_step& step) const
{
    if (worker.m_trial_until > m_now)
    {
        return false;
    }
    // Persistent tasks restart at once, even if a crash then shows less.
    return !step.m_wants_quiet_worker || step.m_persistent ||
           (worker.m_reserved == resources() &&
            m_now - worker.m_last_start_at > crash_after_start);
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

bool planner::has_interference(const worker_entry& worker,
                               const job_step& wanted) const
{
    const bool serves = wanted.m_target_latency > span(0);
    return (wanted.m_uses_idle_cpu || serves) &&
           std::any_of(
               worker.m_tasks.begin(), worker.m_tasks.end(),
               [&](const task_ref& ref)
               {
                   const job_entry* job = m_state.m_jobs.find(ref.m_job);
                   return job != nullptr &&
                          (serves ? job->step(ref).m_uses_idle_cpu
                                  : job->step(ref).m_target_latency > span(0));
               });
}

bool planner::recently_failed(const worker_entry& worker) const
{
    return worker.m_last_failure != instant() &&
           m_now - worker.m_last_failure < recent_failure_period;
}

bool planner::is_last_choice(const worker_entry& worker,
                             const waiting_step& step) const
{
    return recently_failed(worker) ||
           (step.m_suspected &&
            (m_state.is_unreliable(worker, m_now) ||
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
    const job_step& wanted = step.m_job->step(step.m_step);
    std::int64_t fitting = wanted.m_count;
    const auto limit = [&fitting](std::int64_t available, std::int64_t demand)
    {
        if (demand > 0)
        {
            fitting = std::min(fitting,
                               std::max<std::int64_t>(0, available) / demand);
        }
    };
    const resources demand = wanted.occupied();
    limit(free.m_cpu_millis, demand.m_cpu_millis);
    limit(free.m_memory_mb, demand.m_memory_mb);
    limit(free.m_gpus, demand.m_gpus);
    if (wanted.m_max_per_worker > 0)
    {
        fitting = std::min<std::int64_t>(
            fitting, wanted.m_max_per_worker - tasks_on_worker(worker, step));
    }
    return static_cast<int>(std::max<std::int64_t>(0, fitting));
}

worker_entry* planner::best_worker(const waiting_step& step)
{
    const capacity_request request = capacity_request_of(step, 1, false);
    if (m_index.has_failed(request))
    {
        return nullptr;
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    const auto is_far = [&wanted](const worker_entry& worker)
    {
        return !wanted.m_data_rack.empty() &&
               worker.m_description.m_rack != wanted.m_data_rack;
    };
    using rank = std::tuple<bool, bool, std::int64_t, std::int64_t>;
    worker_entry* best = nullptr;
    rank best_rank;
    const worker_index::workers_by_gpus& by_gpus =
        m_index.by_gpus(step.m_policy.m_pool);
    for (auto group = by_gpus.lower_bound(wanted.occupied().m_gpus);
         group != by_gpus.end(); ++group)
    {
        // A worker with more free GPUs ranks after one that is neither far nor
        // failing.
        if (best != nullptr && !step.m_suspected && !std::get<0>(best_rank) &&
            !std::get<1>(best_rank))
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
            const rank found(is_far(*worker), is_last_choice(*worker, step),
                             packing_rank(step, left.m_gpus),
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
    // Outside the rack of its data a task takes several times as long, so it
    // waits for capacity in that rack until it is late.
    const bool waits = best != nullptr && is_far(*best) && !step.m_late;
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
            return;
        }
        worker_entry* worker = best_worker(step);
        if (worker == nullptr)
        {
            if (!may_reclaim(step) || !reclaim_for_task(step))
            {
                return;
            }
            worker = best_worker(step);
            if (worker == nullptr)
            {
                return;
            }
        }
        const int run = step.m_job->task(ref).m_progress.m_last_run + 1;
        assign(step, ref, *worker, run);
    }
}

bool planner::may_span_racks(const waiting_step& step)
{
    return !step.m_job->step(step.m_step).m_same_rack || step.m_late ||
           guarantee_is_due(step) ||
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

bool planner::fits_some_usable_rack(const waiting_step& step) const
{
    const int wanted = step.m_job->step(step.m_step).m_count;
    for (const auto& [rack, workers] : m_index.racks(step.m_policy.m_pool))
    {
        int fitting = 0;
        for (const worker_entry* worker : workers)
        {
            fitting +=
                fitting_tasks(*worker, step, worker->m_description.m_capacity);
            if (fitting >= wanted)
            {
                return true;
            }
        }
    }
    return false;
}

bool planner::fits_some_rack(const waiting_step& step) const
{
    std::map<std::string, int> capacity_by_rack;
    for (const auto& [id, worker] : m_state.m_workers)
    {
        if (worker.m_listed &&
            worker.m_description.m_pool == step.m_policy.m_pool)
        {
            capacity_by_rack[worker.m_description.m_rack] +=
                fitting_tasks(worker, step, worker.m_description.m_capacity);
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
    std::vector<std::tuple<bool, std::int64_t, worker_entry*, int>> ranked;
    int total = 0;
    for (worker_entry* worker : candidates)
    {
        const int fitting =
            fitting_tasks(*worker, step, worker->plannable_capacity());
        if (fitting > 0 && is_eligible(*worker, step))
        {
            ranked.emplace_back(
                is_last_choice(*worker, step),
                packing_rank(step, worker->plannable_capacity().m_gpus), worker,
                fitting);
            total += fitting;
        }
    }
    if (total < wanted.m_count)
    {
        return {};
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right)
              {
                  return std::tuple(std::get<0>(left), std::get<1>(left),
                                    std::get<2>(left)->id()) <
                         std::tuple(std::get<0>(right), std::get<1>(right),
                                    std::get<2>(right)->id());
              });
    std::vector<gang_share> shares;
    int missing = wanted.m_count;
    for (const auto& [failing, free, worker, fitting] : ranked)
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
        return;
    }
    const bool across = may_span_racks(step);
    const std::vector<gang_share> best = best_gang_shares(step, across);
    if (!best.empty())
    {
        assign_gang(step, best);
    }
    else if (may_reclaim(step))
    {
        reclaim_for_gang(step, across);
    }
}

} // namespace kingcuprudder::dispatch
