#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <functional>
#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

// A job expires, and yields no credit, after this many times its objective.
constexpr int late_factor = 3;
// A suspected task waits this long for a worker without other new runs. On a
// busy pool there may be none.
constexpr span max_wait_for_quiet_worker = span(2000);
// After as many crashes in one rack a suspected task is tried in others: the
// crashes may have the rack in common, and a third one is proof against the
// task.
constexpr int losses_to_avoid_rack = 2;
// A persistent task waits this long for a worker that suits it best. It must
// run within 6 s of its last run.
constexpr span max_wait_of_persistent_task = span(2000);

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
    move_runs_off_draining_workers();
    explain_idle_jobs(steps);
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
    const bool was_on_trial = worker.m_trial_until > m_now;
    m_state.assign(*step.m_job, ref, worker, run, m_now);
    if (!was_on_trial && worker.m_trial_until > m_now)
    {
        ++m_trials[step.m_policy.m_pool];
    }
    m_index.update(worker);
    m_expected_releases.erase(worker.id());
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
        if (!is_final(job.m_state) && !job.m_record_refused)
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
    const std::size_t collected = steps.size();
    for (int repeat = 0; repeat < job.m_submission.m_repeats; ++repeat)
    {
        const int count = static_cast<int>(job.m_submission.m_steps.size());
        for (int index = 0; index < count; ++index)
        {
            if (!collect_step(job, repeat, index, steps))
            {
                steps.resize(collected);
                return;
            }
        }
    }
}

bool planner::collect_step(job_entry& job, int repeat, int index,
                           std::vector<waiting_step>& steps)
{
    const job_step& wanted = job.m_submission.m_steps[index];
    const std::vector<task_entry>& tasks = job.m_tasks[repeat][index];
    // The most suspect ones are placed first, on the emptiest workers.
    std::map<double, waiting_step, std::greater<>> by_suspicion;
    for (int task = 0; task < static_cast<int>(tasks.size()); ++task)
    {
        // Tasks that last are restarted however they end.
        if (!wanted.m_persistent && tasks[task].is_waiting() &&
            tasks[task].m_progress.crashes_workers())
        {
            m_state.give_up(job, {job.m_submission.m_id, repeat, index, task},
                            m_now);
            return false;
        }
        if (tasks[task].is_waiting() && tasks[task].m_backoff.has_passed(m_now))
        {
            const double group = wanted.m_gang ? 0 : tasks[task].suspicion();
            add_waiting_task(by_suspicion[group], wanted, tasks[task], task);
        }
    }
    if (by_suspicion.empty() ||
        (wanted.m_gang &&
         by_suspicion.begin()->second.m_waiting.size() != tasks.size()) ||
        !step_is_due(job, repeat, index))
    {
        return true;
    }
    job.refresh_prediction(m_state.m_durations, m_now);
    for (auto& [suspicion, step] : by_suspicion)
    {
        describe_step(step, job, repeat, index);
        steps.push_back(std::move(step));
    }
    return true;
}

void planner::add_waiting_task(waiting_step& step, const job_step& wanted,
                               const task_entry& task, int index) const
{
    step.m_waiting.push_back(index);
    step.m_overdue = step.m_overdue ||
                     (wanted.m_persistent && m_now - task.m_waiting_since >=
                                                 max_wait_of_persistent_task);
    if (!task.m_progress.m_crashes.any())
    {
        return;
    }
    step.m_suspected = true;
    step.m_suspicion = wanted.m_gang ? 1 : task.suspicion();
    step.m_lost_addresses.insert(task.m_lost_addresses.begin(),
                                 task.m_lost_addresses.end());
    for (const auto& [rack, losses] : task.m_losses_by_rack)
    {
        if (losses >= losses_to_avoid_rack)
        {
            step.m_lost_racks.insert(rack);
        }
    }
    step.m_wants_quiet_worker =
        step.m_wants_quiet_worker ||
        m_now - task.m_waiting_since < max_wait_for_quiet_worker;
}

void planner::describe_step(waiting_step& step, job_entry& job, int repeat,
                            int index) const
{
    step.m_job = &job;
    step.m_step = {job.m_submission.m_id, repeat, index, 0};
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
    step.m_guaranteed =
        step.m_policy.m_priority == 0 && index == 0 &&
        m_accounts_within_guarantee.contains(job.m_submission.m_account);
    step.m_late = !step.m_persistent && end > step.m_objective;
    step.m_expired =
        !step.m_persistent && end > counted_from + objective * late_factor;
}

void planner::index_workers()
{
    for (auto& [id, worker] : m_state.m_workers)
    {
        if (m_state.is_usable(worker, m_now))
        {
            m_index.add(worker);
            if (worker.m_trial_until > m_now)
            {
                ++m_trials[worker.m_description.m_pool];
            }
        }
    }
}

} // namespace kingcuprudder::dispatch
