#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <map>

namespace kingcuprudder::dispatch
{

namespace
{

// Limits the time of a planning pass; the other jobs follow in the next ones.
constexpr int max_explained_jobs = 8;
constexpr int room_for_two = 2;

int tasks_placed_together(const job_step& step)
{
    return step.m_gang ? step.m_count : 1;
}

std::string text_of(bool value)
{
    return value ? "true" : "false";
}

} // namespace

// Why jobs with a due step have nothing running.

bool planner::is_known_to_run(const task_entry& task) const
{
    if (!task.m_active || task.m_active->m_phase != run_phase::confirmed)
    {
        return false;
    }
    const auto worker = m_state.m_workers.find(task.m_active->m_worker);
    return worker != m_state.m_workers.end() && worker->second.m_reachable;
}

std::optional<task_ref> planner::idle_step(const job_entry& job) const
{
    std::optional<task_ref> due;
    task_ref ref{job.m_submission.m_id, 0, 0, 0};
    for (const auto& repeat : job.m_tasks)
    {
        ref.m_step = 0;
        for (const auto& step : repeat)
        {
            const auto runs = [this](const task_entry& task)
            { return is_known_to_run(task); };
            if (std::any_of(step.begin(), step.end(), runs))
            {
                return std::nullopt;
            }
            const bool done = std::all_of(step.begin(), step.end(),
                                          [](const task_entry& task)
                                          { return task.m_progress.m_done; });
            if (!due && !done && step_is_due(job, ref.m_repeat, ref.m_step))
            {
                due = ref;
            }
            ++ref.m_step;
        }
        ++ref.m_repeat;
    }
    return due;
}

void planner::explain_idle_jobs(const std::vector<waiting_step>& steps)
{
    int explained = 0;
    for (auto& [id, job] : m_state.m_jobs.jobs())
    {
        const std::optional<task_ref> due =
            is_final(job.m_state) ? std::nullopt : idle_step(job);
        if (!due)
        {
            job.m_idleness = job_idleness();
            continue;
        }
        job.m_idleness.m_since = job.m_idleness.m_since.value_or(m_now);
        if (explained < max_explained_jobs &&
            job.m_idleness.is_explanation_due(m_now))
        {
            ++explained;
            explain_idle_job(job, *due, steps);
        }
    }
}

void planner::explain_idle_job(job_entry& job, const task_ref& due,
                               const std::vector<waiting_step>& steps)
{
    waiting_step step;
    const auto waiting =
        std::find_if(steps.begin(), steps.end(),
                     [&](const waiting_step& each)
                     { return each.m_job == &job && each.m_step == due; });
    if (waiting != steps.end())
    {
        step = *waiting;
    }
    step.m_job = &job;
    step.m_step = due;
    step.m_policy = job.m_policy;
    const std::optional<task_ref> active = first_active_task(job, due);
    const job_step& wanted = job.step(due);
    wait_facts facts;
    facts.m_run = active ? pending_run_of(job, *active) : pending_run::none;
    facts.m_needed = tasks_placed_together(wanted);
    facts.m_one_rack = wanted.m_gang && wanted.m_same_rack;
    facts.m_room = room_for(step);
    facts.m_leaves_urgent_headroom =
        leaves_urgent_headroom(step, facts.m_needed);
    job_idleness& idleness = job.m_idleness;
    idleness.m_explained_at = m_now;
    idleness.m_room_for_two =
        facts.m_room.m_answering >= facts.m_needed * room_for_two;
    const wait_reason reason = find_wait_reason(facts);
    if (idleness.is_line_due(reason, m_now))
    {
        idleness.m_logged_at = m_now;
        idleness.m_logged_reason = reason;
        log_idle_job(step, facts, active);
    }
}

std::optional<task_ref> planner::first_active_task(job_entry& job,
                                                   const task_ref& step)
{
    const std::vector<task_entry>& tasks = job.step_tasks(step);
    std::optional<task_ref> first;
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        task_ref ref = step;
        ref.m_index = static_cast<int>(index);
        if (!tasks[index].m_active)
        {
            continue;
        }
        // What has not ended keeps the other tasks of a gang waiting.
        if (pending_run_of(job, ref) == pending_run::not_ended)
        {
            return ref;
        }
        first = first.value_or(ref);
    }
    return first;
}

pending_run planner::pending_run_of(job_entry& job, const task_ref& ref)
{
    const active_run& run = *job.task(ref).m_active;
    switch (run.m_phase)
    {
    case run_phase::assigned:
        return job.m_stored_version < run.m_required_version
                   ? pending_run::awaits_store
                   : pending_run::awaits_capacity;
    case run_phase::sent:
        return pending_run::awaits_answer;
    case run_phase::unverified:
    case run_phase::confirmed:
    case run_phase::stopping:
        break;
    }
    return pending_run::not_ended;
}

room_by_condition planner::room_for(const waiting_step& step)
{
    const job_step& wanted = step.m_job->step(step.m_step);
    const int most = room_for_two * tasks_placed_together(wanted);
    room_by_condition room;
    std::map<std::string, int> by_rack;
    for (const auto& [id, worker] : m_state.m_workers)
    {
        const worker_description& described = worker.m_description;
        if (!worker.m_listed || described.m_draining ||
            described.m_pool != step.m_policy.m_pool ||
            !has_label(described, wanted.m_required_label))
        {
            continue;
        }
        const int fitting =
            fitting_up_to(most, worker, step, worker.plannable_capacity());
        // The conditions of m_answering to m_apart, in their order.
        const bool answers = !m_state.awaits_answer(worker);
        const bool not_avoided = answers && worker.m_quarantined_until <= m_now;
        const bool off_trial =
            not_avoided && (worker.m_trial_until <= m_now ||
                            is_apart_from_suspects(worker, step));
        const bool quiet = off_trial && is_eligible_alone(worker, step);
        const bool apart = quiet && is_eligible(worker, step);
        room.m_listed += fitting;
        room.m_answering += answers ? fitting : 0;
        room.m_not_avoided += not_avoided ? fitting : 0;
        room.m_off_trial += off_trial ? fitting : 0;
        room.m_quiet += quiet ? fitting : 0;
        room.m_apart += apart ? fitting : 0;
        room.m_near_data += apart && !is_far(worker, step) ? fitting : 0;
        by_rack[described.m_rack] += apart ? fitting : 0;
    }
    for (const auto& [rack, fitting] : by_rack)
    {
        room.m_most_in_rack = std::max(room.m_most_in_rack, fitting);
    }
    return room;
}

void planner::log_idle_job(const waiting_step& step, const wait_facts& facts,
                           const std::optional<task_ref>& active)
{
    job_entry& job = *step.m_job;
    const job_step& wanted = job.step(step.m_step);
    const room_by_condition& room = facts.m_room;
    decision_fields fields = {
        {"reason", std::string(to_string(find_wait_reason(facts)))},
        {"idle_ms", number(job.m_idleness.lasts(m_now).count())},
        {"priority", number(step.m_policy.m_priority)},
        {"tasks", number(wanted.m_count)},
        {"needed", number(facts.m_needed)},
        {"gpus_per_task", number(wanted.m_demand.m_gpus)},
        {"pool_free_gpus", number(m_free_gpus[step.m_policy.m_pool])},
        {"urgent_headroom_gpus",
         number(m_state.m_urgent_headroom.gpus(step.m_policy.m_pool))},
        {"fitting", number(room.m_listed)},
        {"fitting_answering", number(room.m_answering)},
        {"fitting_not_avoided", number(room.m_not_avoided)},
        {"fitting_off_trial", number(room.m_off_trial)},
        {"fitting_quiet", number(room.m_quiet)},
        {"fitting_apart", number(room.m_apart)},
        {"fitting_near_data", number(room.m_near_data)},
        {"most_in_rack", number(room.m_most_in_rack)},
        {"room_for_two", text_of(job.m_idleness.m_room_for_two)}};
    if (active)
    {
        add_run(job, *active, fields);
    }
    m_state.m_log("job_idle", step.m_step.step_str(), std::move(fields));
}

void planner::add_run(job_entry& job, const task_ref& ref,
                      decision_fields& fields)
{
    const active_run& run = *job.task(ref).m_active;
    const worker_entry& worker = m_state.find_or_add_worker(run.m_worker);
    const decision_fields of_run = {
        {"task", ref.str()},
        {"run", number(run.m_number)},
        {"phase", std::string(to_string(run.m_phase))},
        {"stops", number(run.m_stops.count())},
        {"worker", run.m_worker},
        {"lease_left_ms", number((worker.m_lease_end - m_now).count())},
        {"listed", text_of(worker.m_listed)},
        {"draining", text_of(worker.m_description.m_draining)},
        {"reachable", text_of(worker.m_reachable)}};
    fields.insert(fields.end(), of_run.begin(), of_run.end());
}

} // namespace kingcuprudder::dispatch
