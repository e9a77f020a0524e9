#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

// A job that ends later than this many times its objective earns nothing.
constexpr int late_factor = 3;
// A worker that failed a task is used last for this long.
constexpr span recent_failure = span(8000);

// What room is worth to jobs of each priority, relative to priority 1, and what
// of it is left once a job is late.
constexpr double urgent_worth = 10;
constexpr double background_worth = 0.35;
constexpr double late_share = 0.2;

double worth_of_room(const waiting_step& step)
{
    const int priority = step.m_policy.m_priority;
    const double worth = priority == 0   ? urgent_worth
                         : priority == 1 ? 1
                                         : background_worth / (priority - 1);
    return worth * (step.m_late ? late_share : 1);
}

bool has_label(const worker_description& worker, const std::string& label)
{
    return label.empty() ||
           std::find(worker.m_labels.begin(), worker.m_labels.end(), label) !=
               worker.m_labels.end();
}

/// The GPUs of the job's runs.
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

/// Whether only room decides where the step's tasks fit.
bool is_ordinary(const job_step& step)
{
    return step.m_max_per_worker == 0 && !step.m_uses_idle_cpu &&
           step.m_target_latency == span(0);
}

} // namespace

bool goes_first(const waiting_step& left, const waiting_step& right)
{
    const auto rank = [](const waiting_step& step)
    {
        return std::tuple(!step.m_guaranteed, !step.m_lasting, step.m_hopeless,
                          -worth_of_room(step), step.m_objective, step.m_step);
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
    std::stable_sort(steps.begin(), steps.end(), goes_first);
    count_room();
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

void planner::count_room()
{
    std::map<std::string, urgent_use::amount> used;
    for (const auto& [id, job] : m_state.m_jobs.jobs())
    {
        if (!is_final(job.m_state) && job.m_policy.m_priority == 0)
        {
            const std::int64_t gpus = active_gpus(job);
            used[job.m_policy.m_pool].m_gpus += static_cast<double>(gpus);
            used[job.m_policy.m_pool].m_jobs += gpus > 0 ? 1 : 0;
        }
    }
    m_state.m_urgent_use.update(used, m_now);
    for (const auto& [pool, workers] : m_index.pools())
    {
        std::int64_t& free = m_free[pool];
        for (const worker_entry* where : workers.m_all)
        {
            free += std::max<std::int64_t>(0, where->plannable().m_gpus);
        }
    }
}

bool planner::leaves_room_for_urgent(const waiting_step& step, int tasks)
{
    const std::int64_t gpus =
        step.m_job->step(step.m_step).m_demand.m_gpus * tasks;
    const std::int64_t kept = m_state.m_urgent_use.kept(step.m_policy.m_pool);
    return kept == 0 || step.m_policy.m_priority == 0 || step.m_lasting ||
           gpus == 0 || m_free[step.m_policy.m_pool] - gpus >= kept;
}

void planner::assign(waiting_step& step, const task_ref& ref,
                     worker_entry& where, int run)
{
    m_free[step.m_policy.m_pool] -=
        step.m_job->step(step.m_step).m_demand.m_gpus;
    m_state.assign(*step.m_job, ref, where, run, m_now);
}

void planner::count_guarantees()
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
            m_within_guarantee.insert(account);
        }
    }
}

std::vector<waiting_step> planner::collect()
{
    count_guarantees();
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

instant planner::begin_of(const job_entry& job, int repeat) const
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
                    static_cast<double>(job.m_chain.count()) *
                    step.m_policy.m_stretch)) +
                step.m_policy.m_start_allowance;
            step.m_lasting = job.m_submission.m_steps[index].m_persistent;
            const instant begun = begin_of(job, repeat);
            step.m_objective = begun + objective;
            const instant end = m_now + job.m_chain_from[index];
            step.m_guaranteed =
                step.m_policy.m_priority == 0 && index == 0 &&
                m_within_guarantee.contains(job.m_submission.m_account);
            step.m_late = !step.m_lasting && end > step.m_objective;
            step.m_hopeless =
                !step.m_lasting && end > begun + objective * late_factor;
            steps.push_back(std::move(step));
        }
    }
}

void planner::index_workers()
{
    for (auto& [id, where] : m_state.m_workers)
    {
        const bool usable =
            where.m_listed && where.m_synced && where.m_reachable &&
            !where.m_description.m_draining && where.m_avoid_until <= m_now &&
            !m_state.has_foreign_runs(id);
        if (usable)
        {
            m_index.add(where);
        }
    }
}

bool planner::eligible(const worker_entry& where,
                       const waiting_step& step) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    return has_label(where.m_description, wanted.m_required_label) &&
           !is_disturbed(where, wanted);
}

bool planner::is_disturbed(const worker_entry& where,
                           const job_step& wanted) const
{
    const bool serves = wanted.m_target_latency > span(0);
    return (wanted.m_uses_idle_cpu || serves) &&
           std::any_of(
               where.m_tasks.begin(), where.m_tasks.end(),
               [&](const task_ref& ref)
               {
                   const job_entry* job = m_state.m_jobs.find(ref.m_job);
                   return job != nullptr &&
                          (serves ? job->step(ref).m_uses_idle_cpu
                                  : job->step(ref).m_target_latency > span(0));
               });
}

bool planner::recently_failed(const worker_entry& where) const
{
    return where.m_last_failure != instant() &&
           m_now - where.m_last_failure < recent_failure;
}

room_request planner::request_of(const waiting_step& step, int count,
                                 bool one_rack)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    return {step.m_policy.m_pool, wanted.m_required_label, wanted.occupied(),
            count, one_rack};
}

int planner::on_worker(const worker_entry& where,
                       const waiting_step& step) const
{
    const auto first = where.m_tasks.lower_bound(step.m_step);
    int count = 0;
    for (auto each = first;
         each != where.m_tasks.end() && each->m_job == step.m_step.m_job &&
         each->m_repeat == step.m_step.m_repeat &&
         each->m_step == step.m_step.m_step;
         ++each)
    {
        ++count;
    }
    return count;
}

int planner::fitting(const worker_entry& where, const waiting_step& step,
                     const resources& free) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::int64_t most = wanted.m_count;
    const auto limit = [&most](std::int64_t available, std::int64_t demand)
    {
        if (demand > 0)
        {
            most =
                std::min(most, std::max<std::int64_t>(0, available) / demand);
        }
    };
    const resources demand = wanted.occupied();
    limit(free.m_cpu_millis, demand.m_cpu_millis);
    limit(free.m_memory_mb, demand.m_memory_mb);
    limit(free.m_gpus, demand.m_gpus);
    if (wanted.m_max_per_worker > 0)
    {
        most = std::min<std::int64_t>(most, wanted.m_max_per_worker -
                                                on_worker(where, step));
    }
    return static_cast<int>(std::max<std::int64_t>(0, most));
}

worker_entry* planner::best_worker(const waiting_step& step)
{
    const room_request request = request_of(step, 1, false);
    if (m_index.known_to_fail(request))
    {
        return nullptr;
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    const auto is_far = [&wanted](const worker_entry& where)
    {
        return !wanted.m_data_rack.empty() &&
               where.m_description.m_rack != wanted.m_data_rack;
    };
    worker_entry* best = nullptr;
    auto best_rank = std::tuple(true, true, std::int64_t(0), std::int64_t(0));
    for (worker_entry* where : m_index.pool(step.m_policy.m_pool))
    {
        if (fitting(*where, step, where->plannable()) == 0 ||
            !eligible(*where, step))
        {
            continue;
        }
        const resources left = where->plannable() - wanted.occupied();
        const auto rank = std::tuple(is_far(*where), recently_failed(*where),
                                     left.m_gpus, left.m_cpu_millis);
        if (best == nullptr || rank < best_rank)
        {
            best = where;
            best_rank = rank;
        }
    }
    if (best == nullptr && is_ordinary(wanted))
    {
        m_index.note_failure(request);
    }
    // Away from its data a task takes several times as long, so it waits for
    // a place near it as long as that can still be in time.
    const bool waits = best != nullptr && is_far(*best) && !step.m_late;
    return waits ? nullptr : best;
}

void planner::place_tasks(waiting_step& step)
{
    for (const int index : step.m_waiting)
    {
        task_ref ref = step.m_step;
        ref.m_index = index;
        if (!leaves_room_for_urgent(step, 1))
        {
            return;
        }
        worker_entry* where = best_worker(step);
        if (where == nullptr)
        {
            if (!may_reclaim(step) || !reclaim_for_task(step))
            {
                return;
            }
            where = best_worker(step);
            if (where == nullptr)
            {
                return;
            }
        }
        const int run = step.m_job->task(ref).m_progress.m_last_run + 1;
        assign(step, ref, *where, run);
    }
}

bool planner::may_span_racks(const waiting_step& step)
{
    return !step.m_job->step(step.m_step).m_same_rack || step.m_late ||
           promise_is_near(step) || !fits_some_rack(step);
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

bool planner::fits_some_rack(const waiting_step& step)
{
    std::map<std::string, int> room;
    for (const auto& [id, where] : m_state.m_workers)
    {
        if (where.m_listed &&
            where.m_description.m_pool == step.m_policy.m_pool)
        {
            room[where.m_description.m_rack] +=
                fitting(where, step, where.m_description.m_capacity);
        }
    }
    return std::any_of(
        room.begin(), room.end(),
        [&](const auto& each)
        { return each.second >= step.m_job->step(step.m_step).m_count; });
}

std::vector<planner::share>
planner::gang_shares(const waiting_step& step,
                     const worker_index::workers& candidates)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::vector<std::tuple<bool, std::int64_t, worker_entry*, int>> ranked;
    int total = 0;
    for (worker_entry* where : candidates)
    {
        const int room = fitting(*where, step, where->plannable());
        if (room > 0 && eligible(*where, step))
        {
            ranked.emplace_back(recently_failed(*where),
                                where->plannable().m_gpus, where, room);
            total += room;
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
    std::vector<share> shares;
    int missing = wanted.m_count;
    for (const auto& [failing, free, where, room] : ranked)
    {
        if (missing == 0)
        {
            break;
        }
        const int taken = std::min(room, missing);
        shares.emplace_back(where, taken);
        missing -= taken;
    }
    return shares;
}

void planner::assign_gang(waiting_step& step, const std::vector<share>& shares)
{
    int run = 0;
    for (const task_entry& task : step.m_job->step_tasks(step.m_step))
    {
        run = std::max(run, task.m_progress.m_last_run);
    }
    // All members go on from the same checkpoint.
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
    for (const auto& [where, count] : shares)
    {
        for (int member = 0; member < count; ++member)
        {
            step.m_job->task(ref).m_progress.m_checkpoint = checkpoint;
            assign(step, ref, *where, run + 1);
            ++ref.m_index;
        }
    }
    // The start waits until the record names all members.
    for (task_entry& task : step.m_job->step_tasks(step.m_step))
    {
        task.m_active->m_needs_version = step.m_job->m_version;
    }
}

std::vector<planner::share> planner::best_gang_shares(const waiting_step& step,
                                                      bool across)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    const room_request request = request_of(step, wanted.m_count, !across);
    if (m_index.known_to_fail(request))
    {
        return {};
    }
    std::vector<share> best;
    for (const worker_index::workers* domain : gang_domains(step, across))
    {
        std::vector<share> shares = gang_shares(step, *domain);
        if (!shares.empty() && (best.empty() || shares.size() < best.size()))
        {
            best = std::move(shares);
        }
    }
    if (best.empty() && is_ordinary(wanted))
    {
        m_index.note_failure(request);
    }
    return best;
}

void planner::place_gang(waiting_step& step)
{
    if (!leaves_room_for_urgent(step, step.m_job->step(step.m_step).m_count))
    {
        return;
    }
    const bool across = may_span_racks(step);
    const std::vector<share> best = best_gang_shares(step, across);
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
