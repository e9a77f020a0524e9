#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace kingcuprudder::dispatch
{

namespace
{

// A job that ends later than this many times its objective earns nothing.
constexpr int late_factor = 3;
// A worker that failed a task is used last for this long.
constexpr span recent_failure = span(8000);
// Weight of a GPU in cores when work is compared.
constexpr double gpu_in_cores = 8;
constexpr double millis = 1000;
// Work is stopped for an urgent job only if less of it is lost than this many
// core-milliseconds and this share of the job's own work.
constexpr double base_tolerable_loss = 400e3;
constexpr double tolerable_loss_share = 2.0;
// Stopping others, and starting in their place, takes this long.
constexpr span promise_lead = span(1500);
// A task restarted from a checkpoint loses about this much work.
constexpr span checkpoint_loss = span(700);

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

double weight_of(const resources& demand)
{
    return static_cast<double>(demand.m_cpu_millis) / millis +
           gpu_in_cores * static_cast<double>(demand.m_gpus);
}

bool has_label(const worker_description& worker, const std::string& label)
{
    return label.empty() ||
           std::find(worker.m_labels.begin(), worker.m_labels.end(), label) !=
               worker.m_labels.end();
}

} // namespace

bool goes_first(const waiting_step& left, const waiting_step& right)
{
    const auto rank = [](const waiting_step& step)
    {
        return std::tuple(!step.m_guaranteed, step.m_hopeless,
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
    std::vector<waiting_step> steps = collect();
    std::stable_sort(steps.begin(), steps.end(), goes_first);
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
        if (is_final(job.m_state) || m_state.policy_of(job).m_priority != 0)
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
    for (const int earlier : submission.m_steps[step].m_after)
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
            job.predict(m_state.m_durations);
            step.m_policy = m_state.policy_of(job);
            const span objective =
                span(static_cast<std::int64_t>(
                    static_cast<double>(job.m_chain.count()) *
                    step.m_policy.m_stretch)) +
                step.m_policy.m_start_allowance;
            step.m_objective = job.m_accepted_at + objective;
            const instant end = m_now + job.m_chain_from[index];
            step.m_guaranteed =
                step.m_policy.m_priority == 0 && index == 0 &&
                m_within_guarantee.contains(job.m_submission.m_account);
            step.m_late = end > step.m_objective;
            step.m_hopeless = end > job.m_accepted_at + objective * late_factor;
            steps.push_back(std::move(step));
        }
    }
}

bool planner::eligible(const worker_entry& where,
                       const waiting_step& step) const
{
    const job_step& wanted = step.m_job->step(step.m_step);
    return where.m_listed && where.m_synced && where.m_reachable &&
           !m_state.has_foreign_runs(where.id()) &&
           !where.m_description.m_draining && where.m_avoid_until <= m_now &&
           where.m_description.m_pool == step.m_policy.m_pool &&
           has_label(where.m_description, wanted.m_required_label);
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
    limit(free.m_cpu_millis, wanted.m_fills ? 0 : wanted.m_demand.m_cpu_millis);
    limit(free.m_memory_mb, wanted.m_demand.m_memory_mb);
    limit(free.m_gpus, wanted.m_demand.m_gpus);
    if (wanted.m_max_per_worker > 0)
    {
        most = std::min<std::int64_t>(most, wanted.m_max_per_worker -
                                                on_worker(where, step));
    }
    return static_cast<int>(std::max<std::int64_t>(0, most));
}

worker_entry* planner::best_worker(const waiting_step& step)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    worker_entry* best = nullptr;
    auto best_rank = std::tuple(true, true, std::int64_t(0), std::int64_t(0));
    for (auto& [id, where] : m_state.m_workers)
    {
        if (!eligible(where, step) ||
            fitting(where, step, where.plannable()) == 0)
        {
            continue;
        }
        const resources left = where.plannable() - wanted.m_demand;
        const bool far = !wanted.m_data_rack.empty() &&
                         where.m_description.m_rack != wanted.m_data_rack;
        const bool failing = where.m_last_failure != instant() &&
                             m_now - where.m_last_failure < recent_failure;
        const auto rank =
            std::tuple(far, failing, left.m_gpus, left.m_cpu_millis);
        if (best == nullptr || rank < best_rank)
        {
            best = &where;
            best_rank = rank;
        }
    }
    const bool far = best != nullptr && !wanted.m_data_rack.empty() &&
                     best->m_description.m_rack != wanted.m_data_rack;
    // Away from its data a task takes several times as long, so it waits for
    // a place near it as long as that can still be in time.
    return far && !step.m_late ? nullptr : best;
}

void planner::place_tasks(waiting_step& step)
{
    for (const int index : step.m_waiting)
    {
        task_ref ref = step.m_step;
        ref.m_index = index;
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
        m_state.assign(*step.m_job, ref, *where, run, m_now);
    }
}

std::vector<std::vector<worker_entry*>>
planner::gang_domains(const waiting_step& step)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::map<std::string, std::vector<worker_entry*>> by_rack;
    std::vector<worker_entry*> all;
    for (auto& [id, where] : m_state.m_workers)
    {
        if (eligible(where, step))
        {
            by_rack[where.m_description.m_rack].push_back(&where);
            all.push_back(&where);
        }
    }
    if (!wanted.m_same_rack)
    {
        return {all};
    }
    std::vector<std::vector<worker_entry*>> domains;
    domains.reserve(by_rack.size() + 1);
    for (auto& [rack, workers] : by_rack)
    {
        domains.push_back(std::move(workers));
    }
    if (step.m_late || promise_is_near(step) || !fits_some_rack(step))
    {
        domains.push_back(std::move(all));
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
                     const std::vector<worker_entry*>& candidates)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::vector<std::tuple<bool, std::int64_t, worker_entry*, int>> ranked;
    for (worker_entry* where : candidates)
    {
        const int room = fitting(*where, step, where->plannable());
        const bool failing = where->m_last_failure != instant() &&
                             m_now - where->m_last_failure < recent_failure;
        if (room > 0)
        {
            ranked.emplace_back(failing, where->plannable().m_gpus, where,
                                room);
        }
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
    return missing == 0 ? shares : std::vector<share>();
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
            m_state.assign(*step.m_job, ref, *where, run + 1, m_now);
            ++ref.m_index;
        }
    }
    // The start waits until the record names all members.
    for (task_entry& task : step.m_job->step_tasks(step.m_step))
    {
        task.m_active->m_needs_version = step.m_job->m_version;
    }
}

void planner::place_gang(waiting_step& step)
{
    std::vector<share> best;
    for (const std::vector<worker_entry*>& domain : gang_domains(step))
    {
        std::vector<share> shares = gang_shares(step, domain);
        if (!shares.empty() && (best.empty() || shares.size() < best.size()))
        {
            best = std::move(shares);
        }
    }
    if (!best.empty())
    {
        assign_gang(step, best);
    }
    else if (may_reclaim(step))
    {
        reclaim_for_gang(step);
    }
}

bool planner::may_reclaim(const waiting_step& step) const
{
    return step.m_policy.m_priority == 0 && !step.m_hopeless;
}

bool planner::promise_is_near(const waiting_step& step) const
{
    const instant promised =
        step.m_job->m_accepted_at + m_state.m_limits.m_reclaim;
    return step.m_guaranteed && m_now + promise_lead >= promised;
}

double planner::tolerable_loss(const waiting_step& step) const
{
    if (promise_is_near(step))
    {
        return std::numeric_limits<double>::max();
    }
    const job_step& wanted = step.m_job->step(step.m_step);
    const double own_work =
        weight_of(wanted.m_demand) * wanted.m_count *
        static_cast<double>(
            step.m_job->m_predicted[step.m_step.m_step].count());
    return base_tolerable_loss + own_work * tolerable_loss_share;
}

double planner::loss_of(const job_entry& job, const task_ref& ref) const
{
    const job_step& step = job.step(ref);
    const task_entry& task = job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index];
    span worked = task.m_active->m_started_at
                      ? m_now - *task.m_active->m_started_at
                      : span(0);
    if (step.m_checkpoints)
    {
        worked = std::min(worked, checkpoint_loss);
    }
    const int members = step.m_gang ? step.m_count : 1;
    return weight_of(step.m_demand) * static_cast<double>(worked.count()) *
           members;
}

double planner::added_loss(const std::vector<victim>& chosen,
                           const victim& next)
{
    // The members of a gang end together, so the first one loses them all.
    const bool lost_already = next.m_job->step(next.m_task).m_gang &&
                              std::any_of(chosen.begin(), chosen.end(),
                                          [&](const victim& other) {
                                              return other.m_task.step_str() ==
                                                     next.m_task.step_str();
                                          });
    return lost_already ? 0 : next.m_loss;
}

std::vector<planner::victim> planner::victims_on(const worker_entry& where,
                                                 const waiting_step& step)
{
    std::vector<victim> victims;
    for (const task_ref& ref : where.m_tasks)
    {
        job_entry* job = m_state.m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active)
        {
            continue;
        }
        const run_phase phase = job->task(ref).m_active->m_phase;
        const bool stoppable =
            phase == run_phase::confirmed || phase == run_phase::assigned;
        if (stoppable &&
            m_state.policy_of(*job).m_priority > step.m_policy.m_priority &&
            job->step(ref).m_max_unavailable == 0 &&
            !job->step(ref).m_persistent)
        {
            victims.push_back({job, ref, loss_of(*job, ref)});
        }
    }
    std::sort(victims.begin(), victims.end(),
              [](const victim& left, const victim& right)
              {
                  return std::tuple(left.m_loss, left.m_task) <
                         std::tuple(right.m_loss, right.m_task);
              });
    return victims;
}

std::optional<std::pair<std::vector<planner::victim>, double>>
planner::cheapest_victims(const worker_entry& where, const waiting_step& step,
                          resources missing)
{
    std::vector<victim> chosen;
    double loss = 0;
    for (const victim& each : victims_on(where, step))
    {
        if (resources().covers(missing))
        {
            break;
        }
        missing -= each.m_job->step(each.m_task).m_demand;
        loss += added_loss(chosen, each);
        chosen.push_back(each);
    }
    if (!resources().covers(missing))
    {
        return std::nullopt;
    }
    return std::pair(chosen, loss);
}

bool planner::reclaim_for_task(waiting_step& step)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::optional<std::pair<std::vector<victim>, double>> best;
    for (auto& [id, where] : m_state.m_workers)
    {
        if (!eligible(where, step))
        {
            continue;
        }
        auto found =
            cheapest_victims(where, step, wanted.m_demand - where.plannable());
        if (found && (!best || found->second < best->second))
        {
            best = std::move(found);
        }
    }
    if (!best || best->second > tolerable_loss(step))
    {
        return false;
    }
    for (const victim& each : best->first)
    {
        m_state.begin_stopping(*each.m_job, each.m_task,
                               "room for " + step.m_step.step_str(), m_now);
    }
    return true;
}

bool planner::reclaim_for_gang(waiting_step& step)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    std::vector<victim> best;
    double best_loss = tolerable_loss(step);
    for (const std::vector<worker_entry*>& domain : gang_domains(step))
    {
        std::vector<std::pair<double, std::vector<victim>>> offers;
        int missing = wanted.m_count;
        for (worker_entry* where : domain)
        {
            const int free = fitting(*where, step, where->plannable());
            missing -= std::min(missing, free);
            resources needed = wanted.m_demand * (free + 1);
            // Each further member on this worker is an offer of its own.
            for (int more = 1; more <= wanted.m_count; ++more)
            {
                auto found =
                    cheapest_victims(*where, step, needed - where->plannable());
                if (!found ||
                    fitting(*where, step, where->m_description.m_capacity) <
                        free + more)
                {
                    break;
                }
                offers.emplace_back(found->second, found->first);
                needed += wanted.m_demand;
            }
        }
        if (static_cast<int>(offers.size()) < missing)
        {
            continue;
        }
        std::sort(offers.begin(), offers.end(),
                  [](const auto& left, const auto& right)
                  { return left.first < right.first; });
        std::vector<victim> chosen;
        double loss = 0;
        for (int taken = 0; taken < missing; ++taken)
        {
            for (const victim& each : offers[taken].second)
            {
                const bool known =
                    std::any_of(chosen.begin(), chosen.end(),
                                [&](const victim& other)
                                { return other.m_task == each.m_task; });
                if (!known)
                {
                    loss += added_loss(chosen, each);
                    chosen.push_back(each);
                }
            }
        }
        if (loss <= best_loss)
        {
            best_loss = loss;
            best = std::move(chosen);
        }
    }
    for (const victim& each : best)
    {
        m_state.begin_stopping(*each.m_job, each.m_task,
                               "room for " + step.m_step.step_str(), m_now);
    }
    if (best.empty())
    {
        return false;
    }
    for (const std::vector<worker_entry*>& domain : gang_domains(step))
    {
        const std::vector<share> shares = gang_shares(step, domain);
        if (!shares.empty())
        {
            assign_gang(step, shares);
            return true;
        }
    }
    return false;
}

} // namespace kingcuprudder::dispatch
