#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// An assignment is released if its worker has no free capacity after this
// time, for example because a stop took longer than expected.
constexpr span capacity_wait_limit = span(1500);
constexpr int max_start_sends = 3;
// A run whose stop was sent so often has outlasted the longest stop.
constexpr int notable_stop_count = 4;
constexpr span busy_worker_quarantine = span(1000);
const std::string gang_member_ended = "another member ended: ";

} // namespace

// The orders to workers and what becomes of them. dispatcher_releases.cpp
// releases the runs.

void dispatcher::add_allocated(worker_entry& worker, const job_step& step)
{
    worker.m_allocated += step.occupied();
}

void dispatcher::assign(job_entry& job, const task_ref& ref,
                        worker_entry& worker, int run, instant now)
{
    task_entry& task = job.task(ref);
    active_run active;
    active.m_number = run;
    active.m_worker = worker.id();
    active.m_assigned_at = now;
    active.m_start_checkpoint = task.m_progress.m_checkpoint;
    task.m_progress.m_last_run = run;
    task.m_progress.m_worker = worker.id();
    task.m_progress.m_worker_incarnation = worker.m_incarnation;
    task.m_progress.m_worker_address = worker.m_answered_address;
    m_jobs.mark_changed(job);
    active.m_required_version = job.m_version;
    task.m_active = active;
    const span task_waited = now - task.m_waiting_since;
    worker.m_reserved += job.step(ref).occupied();
    worker.m_tasks.insert(ref);
    note_start(worker, task, ref.str(), now);
    // A start needs a recent reading of the worker's clock.
    mark_renewal(worker.id());
    m_unsent_starts.insert(ref);
    const resources left = worker.plannable_capacity();
    m_log(
        "task_assigned", ref.str(),
        {{"run", number(run)},
         {"worker", worker.id()},
         {"zone", worker.m_description.m_zone},
         {"rack", worker.m_description.m_rack},
         {"gpus_left", number(left.m_gpus)},
         {"worker_answer_age_ms", number((now - worker.m_last_answer).count())},
         {"waited_ms", number((now - job.m_accepted_at).count())},
         {"task_waited_ms", number(task_waited.count())},
         {"suspected", task.m_progress.m_crashes.any() ? "true" : "false"}});
}

void dispatcher::begin_stopping(job_entry& job, const task_ref& ref,
                                const std::string& reason, instant now)
{
    task_entry& task = job.task(ref);
    if (!task.m_active || task.m_active->m_phase == run_phase::stopping)
    {
        return;
    }
    if (task.m_active->m_phase == run_phase::assigned)
    {
        release_run(job, ref, run_end_evidence::never_sent(reason, now), now);
        return;
    }
    if (task.m_active->m_phase == run_phase::unverified)
    {
        // The worker refuses starts of an earlier term, so any report without
        // the run shows that it has ended.
        task.m_active->m_listed_from = instant();
    }
    m_changed = true;
    task.m_active->m_phase = run_phase::stopping;
    task.m_active->m_stops = stop_attempts();
    find_or_add_worker(task.m_active->m_worker).m_stopping +=
        job.step(ref).occupied();
    m_log("run_stopping", ref.str(),
          {{"run", number(task.m_active->m_number)},
           {"worker", task.m_active->m_worker},
           {"percent", number(task.m_active->m_progress.percent())},
           {"reason", reason}});
}

void dispatcher::stop_gang_members(job_entry& job, const task_ref& ref,
                                   const std::string& reason, instant now)
{
    // A member that is released here stops the gang again, so the prefix is
    // added only once.
    const std::string member_reason = reason.starts_with(gang_member_ended)
                                          ? reason
                                          : gang_member_ended + reason;
    task_ref member = ref;
    const int count = job.step(ref).m_count;
    for (member.m_index = 0; member.m_index < count; ++member.m_index)
    {
        if (member.m_index != ref.m_index)
        {
            begin_stopping(job, member, member_reason, now);
        }
    }
}

void dispatcher::stop_job(job_entry& job, const std::string& reason,
                          instant now)
{
    task_ref ref{job.m_submission.m_id, 0, 0, 0};
    for (auto& repeat : job.m_tasks)
    {
        ref.m_step = 0;
        for (auto& step : repeat)
        {
            for (ref.m_index = 0; ref.m_index < static_cast<int>(step.size());
                 ++ref.m_index)
            {
                begin_stopping(job, ref, reason, now);
            }
            ++ref.m_step;
        }
        ++ref.m_repeat;
    }
}

void dispatcher::start_finished(const start_order& order,
                                const call_result& result, instant now)
{
    const order_outcome outcome = result.m_outcome;
    const task_ref& ref = order.m_run.m_task;
    if (outcome != order_outcome::accepted)
    {
        m_log("start_not_accepted", ref.str(),
              {{"run", number(order.m_run.m_run)},
               {"worker", order.m_worker},
               {"outcome", std::string(to_string(outcome))},
               {"reason", std::string(to_string(result))}});
    }
    if (outcome == order_outcome::refused_fence)
    {
        m_superseded = true;
        return;
    }
    job_entry* job = m_jobs.find_task(ref);
    if (job == nullptr || !job->task(ref).m_active ||
        job->task(ref).m_active->m_worker != order.m_worker ||
        job->task(ref).m_active->m_number != order.m_run.m_run)
    {
        return;
    }
    active_run& active = *job->task(ref).m_active;
    worker_entry& worker = find_or_add_worker(order.m_worker);
    if (outcome != order_outcome::may_have_arrived)
    {
        --active.m_unanswered_sends;
    }
    switch (outcome)
    {
    case order_outcome::accepted:
        if (active.m_phase == run_phase::sent)
        {
            active.m_phase = run_phase::confirmed;
        }
        if (active.m_phase == run_phase::confirmed)
        {
            active.m_listed_from = now;
            mark_started(*job, active, now);
        }
        return;
    case order_outcome::refused_old:
        // The run has ended; the next report contains its completion.
        active.m_listed_from = now;
        return;
    case order_outcome::may_have_arrived:
        if (active.m_send_count >= max_start_sends)
        {
            begin_stopping(*job, ref, "start unanswered", now);
        }
        else if (active.m_phase == run_phase::sent)
        {
            m_unsent_starts.insert(ref); // Repeat it without delay.
        }
        return;
    case order_outcome::refused_own_fence:
        // Nothing was done; it is repeated with the present token.
        --active.m_send_count;
        if (active.m_phase == run_phase::sent)
        {
            m_unsent_starts.insert(ref);
        }
        return;
    case order_outcome::refused_busy:
    case order_outcome::not_sent:
        worker.m_quarantined_until = now + busy_worker_quarantine;
        break;
    default:
        break;
    }
    if (active.m_send_count > 1)
    {
        // The worker may still execute an earlier, unanswered start.
        begin_stopping(*job, ref, "start refused after an unanswered one", now);
        return;
    }
    release_run(*job, ref,
                run_end_evidence::refused(outcome, worker.m_incarnation, now),
                now);
}

void dispatcher::stop_finished(const stop_order& order, order_outcome outcome,
                               instant now)
{
    if (outcome != order_outcome::accepted)
    {
        m_log("stop_not_accepted", order.m_run.m_task.str(),
              {{"run", number(order.m_run.m_run)},
               {"worker", order.m_worker},
               {"outcome", std::string(to_string(outcome))}});
    }
    if (outcome == order_outcome::refused_fence)
    {
        m_superseded = true;
        return;
    }
    job_entry* job = m_jobs.find_task(order.m_run.m_task);
    if (job == nullptr || !job->task(order.m_run.m_task).m_active)
    {
        return;
    }
    active_run& active = *job->task(order.m_run.m_task).m_active;
    const std::int64_t incarnation =
        find_or_add_worker(order.m_worker).m_incarnation;
    if (active.m_worker == order.m_worker &&
        order.m_incarnation == incarnation &&
        active.m_number == order.m_run.m_run &&
        active.m_phase == run_phase::stopping &&
        outcome == order_outcome::accepted && !active.m_listed_from)
    {
        // Only the first accepted stop sets this time. Advancing it with every
        // repeated stop would discard all reports in flight.
        active.m_listed_from = now;
    }
}

void dispatcher::send_stops(instant now, dispatch_effects& effects)
{
    for (auto& [id, worker] : m_workers)
    {
        if (worker.m_stopping == resources())
        {
            continue;
        }
        for (const task_ref& ref : worker.m_tasks)
        {
            job_entry* job = m_jobs.find_task(ref);
            if (job == nullptr || !job->task(ref).m_active)
            {
                continue;
            }
            active_run& active = *job->task(ref).m_active;
            if (active.m_phase == run_phase::stopping)
            {
                send_stop(worker, {ref, active.m_number}, active.m_stops, now,
                          effects);
            }
        }
    }
    for (auto& [id, runs] : m_unrecorded_runs.by_worker())
    {
        const worker_entry& worker = find_or_add_worker(id);
        for (auto& [run, stops] : runs)
        {
            send_stop(worker, run, stops, now, effects);
        }
    }
}

void dispatcher::send_stop(const worker_entry& worker, const run_ref& run,
                           stop_attempts& stops, instant now,
                           dispatch_effects& effects)
{
    if (!stops.is_due(now))
    {
        return;
    }
    stops.sent(now);
    effects.m_stops.push_back({worker.id(), run, worker.m_incarnation});
    if (stops.count() == notable_stop_count)
    {
        const bool recorded = !m_unrecorded_runs.contains(worker.id(), run);
        m_log("stop_repeated", run.m_task.str(),
              {{"run", number(run.m_run)},
               {"worker", worker.id()},
               {"recorded", recorded ? "true" : "false"},
               {"sent", number(stops.count())},
               {"first_sent_age_ms", number(stops.age(now).count())},
               {"worker_answer_age_ms",
                number((now - worker.m_last_answer).count())},
               {"reachable", worker.m_reachable ? "true" : "false"},
               {"renewed", renewal_of(worker).m_needed ? "true" : "false"}});
    }
}

void dispatcher::release_stuck_assignments(instant now)
{
    const std::vector<task_ref> unsent(m_unsent_starts.begin(),
                                       m_unsent_starts.end());
    for (const task_ref& ref : unsent)
    {
        job_entry& job = *m_jobs.find_task(ref);
        if (!job.task(ref).m_active ||
            job.task(ref).m_active->m_phase != run_phase::assigned)
        {
            continue; // Released with its gang, or sent before.
        }
        active_run& active = *job.task(ref).m_active;
        const worker_entry& worker = find_or_add_worker(active.m_worker);
        if (!active.m_ready_at &&
            job.m_stored_version >= active.m_required_version)
        {
            active.m_ready_at = now;
        }
        const bool unusable = !worker.m_reachable || !worker.m_synced ||
                              worker.m_description.m_draining;
        if (unusable || (active.m_ready_at &&
                         now - *active.m_ready_at > capacity_wait_limit))
        {
            release_run(
                job, ref,
                run_end_evidence::never_sent("no room on the worker", now),
                now);
        }
    }
}

void dispatcher::release_assignments(job_entry& job, const std::string& reason,
                                     instant now)
{
    const std::vector<task_ref> unsent(m_unsent_starts.begin(),
                                       m_unsent_starts.end());
    for (const task_ref& ref : unsent)
    {
        const bool is_assigned =
            ref.m_job == job.m_submission.m_id && job.task(ref).m_active &&
            job.task(ref).m_active->m_phase == run_phase::assigned;
        if (is_assigned)
        {
            release_run(job, ref, run_end_evidence::never_sent(reason, now),
                        now);
        }
    }
}

bool dispatcher::has_free_capacity(job_entry& job, const task_ref& ref)
{
    const resources demand = job.step(ref).occupied();
    const auto fits = [this, &demand](const std::string& id, std::int64_t tasks)
    {
        return !has_unrecorded_runs(id) &&
               find_or_add_worker(id).free_capacity().fitting(demand, tasks) ==
                   tasks;
    };
    if (!job.step(ref).m_gang)
    {
        return fits(job.task(ref).m_active->m_worker, 1);
    }
    // Members that start alone would hold their resources idle, so a gang
    // starts when all members that have not started fit.
    std::map<std::string, std::int64_t> members;
    for (const task_entry& task : job.step_tasks(ref))
    {
        if (!task.m_active)
        {
            return false;
        }
        if (task.m_active->m_phase == run_phase::assigned)
        {
            ++members[task.m_active->m_worker];
        }
    }
    return std::all_of(members.begin(), members.end(),
                       [&fits](const auto& each)
                       { return fits(each.first, each.second); });
}

void dispatcher::send_starts(instant now, dispatch_effects& effects)
{
    for (auto each = m_unsent_starts.begin(); each != m_unsent_starts.end();)
    {
        const bool sent =
            send_start(*m_jobs.find_task(*each), *each, now, effects);
        each = sent ? m_unsent_starts.erase(each) : std::next(each);
    }
}

bool dispatcher::send_start(job_entry& job, const task_ref& ref, instant now,
                            dispatch_effects& effects)
{
    active_run& active = *job.task(ref).m_active;
    worker_entry& worker = find_or_add_worker(active.m_worker);
    if (worker.m_description.m_draining && active.m_phase == run_phase::sent)
    {
        // An earlier attempt may have arrived.
        begin_stopping(job, ref, "worker drains", now);
        return true;
    }
    if (worker.m_description.m_draining ||
        !worker.is_called_where_it_answered())
    {
        return false;
    }
    if (active.m_phase == run_phase::assigned)
    {
        if (job.m_stored_version < active.m_required_version ||
            !has_free_capacity(job, ref))
        {
            return false;
        }
        worker.m_reserved -= job.step(ref).occupied();
        add_allocated(worker, job.step(ref));
        active.m_phase = run_phase::sent;
    }
    else if (active.m_phase != run_phase::sent)
    {
        return true; // Answered meanwhile, no repetition is needed.
    }
    if (active.m_send_count == 0)
    {
        active.m_first_sent_at = now;
        note_start(worker, job.task(ref), ref.str(), now);
    }
    ++active.m_send_count;
    ++active.m_unanswered_sends;
    active.m_fence = m_fence;
    worker.m_lease_end = std::max(worker.m_lease_end, lease_end(now));
    effects.m_starts.push_back({worker.id(),
                                {ref, active.m_number},
                                job.m_submission.m_spec,
                                active.m_start_checkpoint,
                                m_fence,
                                now});
    return true;
}

bool dispatcher::awaits_answer(const worker_entry& worker) const
{
    return !worker.m_synced || !worker.m_reachable || !worker.is_described() ||
           has_unrecorded_runs(worker.id());
}

bool dispatcher::is_usable(const worker_entry& worker, instant now) const
{
    return worker.m_listed && !worker.m_description.m_draining &&
           worker.m_quarantined_until <= now &&
           !m_failures.is_avoided(worker.id(), now) && !awaits_answer(worker);
}

renewal_request dispatcher::renewal_of(const worker_entry& worker) const
{
    renewal_request request;
    request.m_worker = worker.id();
    const bool holds_runs =
        !worker.m_tasks.empty() || has_unrecorded_runs(worker.id());
    const bool watched = worker.m_late_starts_until.has_value();
    if (!worker.m_listed && !holds_runs && !watched)
    {
        return request;
    }
    request.m_address = worker.m_called_address;
    request.m_incarnation = worker.m_incarnation;
    request.m_acknowledged = worker.m_acknowledged;
    request.m_awaits_store = !worker.m_unstored_completions.empty();
    request.m_needed = (worker.m_listed && awaits_answer(worker)) ||
                       holds_runs || request.m_awaits_store || watched;
    request.m_min_fence = worker.m_required_fence;
    request.m_draining = worker.m_description.m_draining;
    return request;
}

std::vector<renewal_request> dispatcher::changed_renewals()
{
    std::vector<renewal_request> requests;
    for (const std::string& id : m_changed_renewals)
    {
        requests.push_back(renewal_of(find_or_add_worker(id)));
    }
    m_changed_renewals.clear();
    return requests;
}

} // namespace kingcuprudder::dispatch
