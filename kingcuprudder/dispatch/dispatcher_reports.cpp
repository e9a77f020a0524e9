#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr span slow_worker_quarantine = span(3000);
// As many start times in false entries are remembered for a worker.
constexpr std::size_t max_refuted_incarnations = 64;
// A worker reports 500 ends at a time and repeats those that have not been
// acknowledged, so that newer ones would not be reported.
constexpr std::int64_t max_unacknowledged_ends = 250;

} // namespace

// Applies worker reports: running runs, completions and progress.

void dispatcher::renewal_answered(const std::string& id,
                                  const worker_report& report, instant sent,
                                  instant now)
{
    worker_entry& worker = find_or_add_worker(id);
    // Answers may overtake each other. A call that was sent after the last
    // answer was answered by the present process, though its start time may be
    // lower than before, as clocks are set back.
    if (report.m_incarnation != 0 &&
        report.m_incarnation < worker.m_incarnation &&
        sent <= worker.m_last_answer)
    {
        return; // An answer of an earlier incarnation.
    }
    if (report.m_incarnation != worker.m_incarnation &&
        report.m_incarnation != 0)
    {
        if (worker.m_incarnation != 0)
        {
            begin_incarnation(worker, report, sent, now);
        }
        worker.m_incarnation = report.m_incarnation;
        if (worker.m_listed)
        {
            worker.use_entry();
        }
    }
    check_listed_restart(worker, sent);
    if (!worker.m_reachable || !worker.m_synced)
    {
        m_log("worker_answers", id,
              {{"running",
                number(static_cast<std::int64_t>(report.m_running.size()))},
               {"ended",
                number(static_cast<std::int64_t>(report.m_ended.size()))}});
    }
    if (!worker.m_reachable || !worker.m_synced || !report.m_ended.empty())
    {
        m_changed = true;
    }
    mark_renewal(id);
    worker.m_reachable = true;
    worker.m_answered_address = worker.m_called_address;
    worker.m_last_answer = now;
    worker.m_answer_clock = report.m_clock;
    worker.note_clock(report.m_clock, sent);
    worker.m_left_at.reset();
    note_answer(worker);
    for (const completion_report& end : report.m_ended)
    {
        apply_completion(worker, end, now);
    }
    for (const running_report& run : report.m_running)
    {
        apply_running(worker, run, now);
    }
    release_unlisted_runs(worker, report, sent, now);
    stop_slow_runs(worker, now);
    worker.m_synced = !worker.m_restart_listed_at &&
                      report.m_fence >= worker.m_required_fence;
    worker.m_replaced = false;
    advance_acknowledged(worker);
}

void dispatcher::renewal_failed(const std::string& id,
                                const call_result& result, instant now,
                                std::optional<instant> sent)
{
    worker_entry& worker = find_or_add_worker(id);
    if (worker.m_reachable)
    {
        m_log("worker_silent", id,
              {{"reason", std::string(to_string(result))},
               {"tasks",
                number(static_cast<std::int64_t>(worker.m_tasks.size()))},
               {"lease_left_ms", number((worker.m_lease_end - now).count())}});
    }
    note_silence(worker, result, now);
    m_changed = m_changed || worker.m_reachable;
    worker.m_reachable = false;
    mark_renewal(id);
    if (result.m_outcome == order_outcome::wrong_incarnation &&
        worker.is_called_where_it_answered() && !worker.m_replaced)
    {
        worker.m_replaced = true;
        m_log("worker_replaced", id,
              {{"address", worker.m_called_address},
               {"last_answer_age_ms",
                number((now - worker.m_last_answer).count())}});
        // Its process is gone, and so are its runs, whatever is left of the
        // lease.
        lose_worker_runs(
            worker,
            run_end_evidence::process_replaced(worker.m_incarnation, now), now);
    }
    if (const auto left = left_at(worker, result, sent))
    {
        const auto evidence =
            run_end_evidence::left(worker.m_incarnation, *left, *sent);
        lose_worker_runs(worker, evidence, now);
    }
    call_other_address(worker, now);
}

void dispatcher::begin_incarnation(worker_entry& worker,
                                   const worker_report& report, instant sent,
                                   instant now)
{
    m_log("worker_restarted", worker.id(),
          {{"started_before", number(worker.m_incarnation)},
           {"started", number(report.m_incarnation)},
           {"listed", number(worker.m_entry.m_incarnation)},
           {"address", worker.m_called_address},
           {"last_answer_age_ms", number((now - worker.m_last_answer).count())},
           {"tasks", number(static_cast<std::int64_t>(worker.m_tasks.size()))},
           {"call_fence", number(report.m_fence)}});
    m_changed = true;
    mark_renewal(worker.id());
    if (!worker.m_silent_since)
    {
        worker.m_process_ended = true; // No call has shown how it was lost.
    }
    if (worker.has_answered())
    {
        attribute_loss(worker, now);
    }
    else
    {
        note_restart_before_term(worker, report);
        attribute_restarts_before_term(now);
    }
    worker.m_incarnation = report.m_incarnation;
    worker.m_answered_address = worker.m_called_address;
    settle_runs_of_earlier_process(worker, report, sent, now);
    worker.m_attributed.clear();
    worker.m_silent_since.reset();
    worker.m_process_ended = false;
    worker.m_found_replaced = false;
    worker.m_cut_off = false;
    worker.m_loss_attributed = false;
    worker.m_last_start_at = instant();
    worker.m_trial_until = instant();
    worker.m_synced = false;
    // Calls to the earlier process may be carried out late. One that extends
    // the lease has a time of the earlier clock. Until now they may have
    // extended the new process's lease to the maximum.
    worker.m_clock_lead.reset();
    worker.m_required_fence = std::max(m_fence, report.m_fence) + 1;
    worker.m_lease_end = std::max(worker.m_lease_end, lease_end(now));
    m_required_fence = std::max(m_required_fence, worker.m_required_fence);
    worker.m_acknowledged = 0;
    worker.m_last_completion = 0;
    worker.m_unstored_completions.clear();
    m_failures.worker_restarted(worker.id());
    worker.m_quarantined_until = instant();
    forget_unrecorded_runs(
        worker.id(),
        run_end_evidence::process_ended(worker.m_incarnation, sent), now);
}

void dispatcher::settle_runs_of_earlier_process(worker_entry& worker,
                                                const worker_report& report,
                                                instant sent, instant now)
{
    const std::set<task_ref> tasks = worker.m_tasks;
    for (const task_ref& ref : tasks)
    {
        job_entry& job = *m_jobs.find_task(ref);
        if (!job.task(ref).m_active ||
            job.task(ref).m_active->m_worker != worker.id())
        {
            continue; // Released with its gang.
        }
        const active_run& active = *job.task(ref).m_active;
        const bool held = report.find(ref.str(), active.m_number) != nullptr;
        if (!held && has_ended_with_process(active, sent))
        {
            release_run(
                job, ref,
                run_end_evidence::process_ended(worker.m_incarnation, sent),
                now);
            continue;
        }
        task_progress& recorded = job.task(ref).m_progress;
        recorded.m_worker_incarnation = worker.m_incarnation;
        recorded.m_worker_address = worker.m_answered_address;
        m_jobs.mark_changed(job);
        if (held || active.m_unanswered_sends > 0)
        {
            continue_at_new_process(job, ref, held, now);
        }
    }
}

bool dispatcher::has_ended_with_process(const active_run& run, instant sent)
{
    // Orders name the worker only, so its new process executes a start that was
    // meant for the one before. An answer to a call that was sent before the
    // start was confirmed does not show whether it has done so.
    return run.m_unanswered_sends == 0 &&
           (!run.m_listed_from || *run.m_listed_from < sent);
}

void dispatcher::continue_at_new_process(job_entry& job, const task_ref& ref,
                                         bool held, instant now)
{
    if (!held)
    {
        begin_stopping(job, ref, "worker restarted", now);
    }
    active_run& active = *job.task(ref).m_active;
    // What the earlier process has answered does not hold for the new one.
    active.m_stops = stop_attempts();
    active.m_listed_from.reset();
    if (held && active.m_phase != run_phase::stopping)
    {
        active.m_listed_from = now;
    }
}

void dispatcher::check_listed_restart(worker_entry& worker, instant sent)
{
    const std::int64_t listed = worker.m_description.m_incarnation;
    if (!worker.m_restart_listed_at)
    {
        return;
    }
    if (listed <= worker.m_incarnation)
    {
        worker.m_restart_listed_at.reset();
    }
    else if (*worker.m_restart_listed_at < sent)
    {
        if (worker.m_refuted_incarnations.size() == max_refuted_incarnations)
        {
            worker.m_refuted_incarnations.clear();
        }
        worker.m_refuted_incarnations.insert(listed);
        worker.m_restart_listed_at.reset();
        m_log("listed_restart_refuted", worker.id(),
              {{"started", number(worker.m_incarnation)},
               {"listed", number(listed)}});
    }
}

void dispatcher::apply_running(worker_entry& worker,
                               const running_report& report, instant now)
{
    const std::optional<task_ref> ref = task_ref::parse(report.m_task);
    job_entry* job = ref ? m_jobs.find_task(*ref) : nullptr;
    task_entry* task = job == nullptr ? nullptr : &job->task(*ref);
    if (task == nullptr || !task->m_active ||
        task->m_active->m_worker != worker.id() ||
        task->m_active->m_number != report.m_run)
    {
        if (ref && m_unrecorded_runs.add(worker.id(), {*ref, report.m_run}))
        {
            m_log("unknown_run_found", report.m_task,
                  {{"run", number(report.m_run)}, {"worker", worker.id()}});
        }
        return;
    }
    active_run& active = *task->m_active;
    if (active.m_phase == run_phase::sent ||
        active.m_phase == run_phase::unverified)
    {
        active.m_phase = run_phase::confirmed;
        active.m_listed_from = now;
    }
    mark_started(*job, active, now);
    clear_crashes_of_lasting_run(*job, *ref, now);
    note_success_of_lasting_run(*job, *ref, now);
    update_progress(*job, *ref, report.m_percent, now);
    if (!report.m_checkpoint.empty())
    {
        task->m_progress.m_checkpoint = report.m_checkpoint;
    }
}

bool dispatcher::has_comparable_speed(const job_entry& job, const task_ref& ref)
{
    const job_step& step = job.step(ref);
    // All members of a gang stall together, so their speed does not show which
    // worker is slow, and a restart would lose the work of all members.
    if (step.m_persistent || step.m_uses_idle_cpu || step.m_gang)
    {
        return false;
    }
    const task_entry& task = job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index];
    return step.m_data_rack.empty() ||
           step.m_data_rack ==
               find_or_add_worker(task.m_active->m_worker).m_description.m_rack;
}

void dispatcher::update_progress(job_entry& job, const task_ref& ref,
                                 int percent, instant now)
{
    active_run& run = *job.task(ref).m_active;
    run.m_percent = percent;
    if (!has_comparable_speed(job, ref))
    {
        run.m_progress.reset();
        return;
    }
    run.m_progress.observe(percent, job.longest_expected(ref),
                           job.task(ref).m_slow_stops, now);
}

void dispatcher::stop_slow_runs(worker_entry& worker, instant now)
{
    bool any_slow = false;
    bool any_normal = false;
    for (const task_ref& ref : worker.m_tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active ||
            job->task(ref).m_active->m_phase != run_phase::confirmed)
        {
            continue;
        }
        const run_progress& progress = job->task(ref).m_active->m_progress;
        any_slow = any_slow || progress.is_slow();
        any_normal =
            any_normal || (progress.percent() > 0 && !progress.is_slow());
    }
    if (!any_slow)
    {
        return;
    }
    if (!any_normal &&
        worker.m_quarantined_until < now + slow_worker_quarantine)
    {
        worker.m_quarantined_until = now + slow_worker_quarantine;
        m_log("worker_slow", worker.id(),
              {{"avoided_ms", number(slow_worker_quarantine.count())}});
    }
    const std::set<task_ref> tasks = worker.m_tasks;
    for (const task_ref& ref : tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active ||
            job->task(ref).m_active->m_phase != run_phase::confirmed)
        {
            continue;
        }
        const active_run& run = *job->task(ref).m_active;
        if (run.m_progress.is_faster_elsewhere(
                job->longest_expected(ref),
                job->step(ref).m_writes_checkpoints))
        {
            ++job->task(ref).m_slow_stops;
            begin_stopping(*job, ref, "too slow on this worker", now);
        }
    }
}

void dispatcher::mark_started(job_entry& job, active_run& run, instant now)
{
    if (!run.m_started_at)
    {
        run.m_started_at = now;
        run.m_progress.reset();
    }
    if (job.m_state == job_state::queued)
    {
        job.m_state = job_state::running;
        m_jobs.mark_changed(job);
    }
}

void dispatcher::apply_completion(worker_entry& worker,
                                  const completion_report& report, instant now)
{
    if (report.m_number <= worker.m_last_completion)
    {
        return;
    }
    worker.m_last_completion = report.m_number;
    const std::optional<task_ref> ref = task_ref::parse(report.m_task);
    if (ref)
    {
        forget_unrecorded_run(
            worker.id(), {*ref, report.m_run},
            run_end_evidence::reported(worker.m_incarnation, now), now);
    }
    job_entry* job = ref ? m_jobs.find_task(*ref) : nullptr;
    if (job == nullptr)
    {
        return;
    }
    task_entry& task = job->task(*ref);
    const bool was_active = task.m_active &&
                            task.m_active->m_worker == worker.id() &&
                            task.m_active->m_number == report.m_run;
    m_log("run_ended", report.m_task,
          {{"run", number(report.m_run)},
           {"worker", worker.id()},
           {"how", std::string(to_string(report.m_outcome))},
           {"end_number", number(report.m_number)},
           {"held_ms",
            was_active ? number((now - task.m_active->m_assigned_at).count())
                       : "not the newest run"}});
    if (job->m_state == job_state::queued)
    {
        job->m_state = job_state::running;
    }
    if (!report.m_checkpoint.empty())
    {
        task.m_progress.m_checkpoint = report.m_checkpoint;
    }
    if (report.m_outcome == run_outcome::done && !job->step(*ref).m_persistent)
    {
        m_failures.worker_succeeded(worker.id());
        m_failures.task_succeeded(failing_unit(*job, *ref));
        if (was_active)
        {
            record_duration(*job, *ref, now);
        }
        apply_done(*job, *ref, report.m_run, now);
    }
    else if (report.m_outcome == run_outcome::failed)
    {
        apply_failure(*job, *ref, report.m_run, worker, now);
    }
    if (was_active && job->task(*ref).m_active)
    {
        delay_restart(*job, *ref, report.m_outcome, now);
        release_run(*job, *ref,
                    run_end_evidence::reported(worker.m_incarnation, now), now);
    }
    m_jobs.mark_changed(*job);
    worker.m_unstored_completions[report.m_number] = {job->m_submission.m_id,
                                                      job->m_version};
    m_workers_awaiting_store.insert(worker.id());
}

void dispatcher::record_duration(const job_entry& job, const task_ref& ref,
                                 instant now)
{
    const active_run& run =
        *job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index].m_active;
    const job_step& step = job.step(ref);
    const bool near = step.m_data_rack.empty() && !step.m_same_rack;
    if (run.m_started_at && run.m_start_checkpoint.empty() && near)
    {
        m_durations.observe(job.m_submission.m_queue, step.m_estimate,
                            now - *run.m_started_at);
    }
}

void dispatcher::apply_done(job_entry& job, const task_ref& ref, int run,
                            instant now)
{
    // Members of a gang complete together, so one completion covers them all.
    task_ref each = ref;
    const bool gang = job.step(ref).m_gang;
    const int first = gang ? 0 : ref.m_index;
    const int last = gang ? job.step(ref).m_count - 1 : ref.m_index;
    for (each.m_index = first; each.m_index <= last; ++each.m_index)
    {
        task_entry& task = job.task(each);
        task.m_progress.m_done = true;
        if (task.m_active && task.m_active->m_number != run)
        {
            begin_stopping(job, each, "done by an earlier run", now);
        }
    }
    complete_if_done(job, now);
}

void dispatcher::apply_failure(job_entry& job, const task_ref& ref, int run,
                               worker_entry& worker, instant now)
{
    blame_failure(job, ref, run, worker, now);
    if (!job.step(ref).m_persistent)
    {
        count_attempt(job, ref, run, now);
    }
}

void dispatcher::count_attempt(job_entry& job, const task_ref& ref, int run,
                               instant now)
{
    const task_ref counted = failing_unit(job, ref);
    std::vector<int>& failed = job.task(counted).m_progress.m_failed_runs;
    if (std::find(failed.begin(), failed.end(), run) == failed.end())
    {
        failed.push_back(run);
    }
    const int max_attempts = job.m_policy.m_max_attempts;
    if (static_cast<int>(failed.size()) >= max_attempts)
    {
        m_failures.attempts_used(counted);
        fail_job(job,
                 {{"task", counted.str()},
                  {"reason", "attempts used"},
                  {"attempts", number(max_attempts)}},
                 now);
    }
}

task_ref dispatcher::failing_unit(const job_entry& job, const task_ref& ref)
{
    task_ref unit = ref;
    unit.m_index = job.step(ref).m_gang ? 0 : ref.m_index;
    return unit;
}

void dispatcher::blame_failure(job_entry& job, const task_ref& ref, int run,
                               const worker_entry& worker, instant now)
{
    const std::optional<active_run>& active = job.task(ref).m_active;
    const bool succeeded =
        active && active->m_number == run && active->m_has_succeeded;
    if (succeeded || is_final(job.m_state))
    {
        return;
    }
    const task_ref unit = failing_unit(job, ref);
    const failure_cause cause = m_failures.add(worker.id(), unit, now);
    if (cause == failure_cause::worker)
    {
        m_log("worker_avoided", worker.id(),
              {{"failed_jobs", number(static_cast<std::int64_t>(
                                   m_failures.failed_jobs(worker.id())))},
               {"for_ms", number(failing_worker_quarantine.count())}});
    }
    else if (cause == failure_cause::task)
    {
        m_log("task_blamed", unit.str(),
              {{"run", number(run)}, {"worker", worker.id()}});
    }
}

void dispatcher::note_success_of_lasting_run(job_entry& job,
                                             const task_ref& ref, instant now)
{
    active_run& active = *job.task(ref).m_active;
    if (job.step(ref).m_persistent && !active.m_has_succeeded &&
        now - *active.m_started_at >= successful_run)
    {
        active.m_has_succeeded = true;
        m_failures.worker_succeeded(active.m_worker);
        m_failures.task_succeeded(failing_unit(job, ref));
    }
}

void dispatcher::delay_restart(job_entry& job, const task_ref& ref,
                               run_outcome outcome, instant now)
{
    const bool by_itself =
        outcome == run_outcome::failed || outcome == run_outcome::done;
    if (!job.step(ref).m_persistent || !by_itself)
    {
        return;
    }
    const active_run& active = *job.task(ref).m_active;
    const span at_work =
        active.m_started_at ? now - *active.m_started_at : span(0);
    restart_backoff& backoff = job.task(failing_unit(job, ref)).m_backoff;
    backoff.run_ended(active.m_number, at_work, now);
    if (backoff.delay() > span(0))
    {
        m_log("restart_delayed", ref.str(),
              {{"run", number(active.m_number)},
               {"at_work_ms", number(at_work.count())},
               {"for_ms", number(backoff.delay().count())}});
    }
}

void dispatcher::fail_job(job_entry& job, const decision_fields& cause,
                          instant now)
{
    if (is_final(job.m_state))
    {
        return;
    }
    job.m_state = job_state::failed;
    m_failures.job_ended(job.m_submission.m_id);
    m_log("job_failed", job.m_submission.m_id, cause);
    stop_job(job, "job failed", now);
    m_jobs.mark_changed(job);
}

void dispatcher::complete_if_done(job_entry& job, instant now)
{
    if (is_final(job.m_state))
    {
        return;
    }
    for (const auto& repeat : job.m_tasks)
    {
        for (const auto& step : repeat)
        {
            for (const task_entry& task : step)
            {
                if (!task.m_progress.m_done)
                {
                    return;
                }
            }
        }
    }
    job.m_state = job_state::completed;
    m_failures.job_ended(job.m_submission.m_id);
    m_log("job_completed", job.m_submission.m_id,
          {{"took_ms", number((now - job.m_accepted_at).count())},
           {"chain_ms", number(job.m_critical_path.count())}});
}

void dispatcher::forget_ends_of_refused_records(worker_entry& worker)
{
    auto& unstored = worker.m_unstored_completions;
    while (!unstored.empty() &&
           worker.m_last_completion - unstored.begin()->first >=
               max_unacknowledged_ends)
    {
        const auto& [end, waits_for] = *unstored.begin();
        const job_entry* job = m_jobs.find(waits_for.first);
        if (job != nullptr && !job->m_record_refused)
        {
            return;
        }
        m_log("end_not_stored", waits_for.first,
              {{"worker", worker.id()},
               {"end_number", number(end)},
               {"last_end", number(worker.m_last_completion)}});
        unstored.erase(unstored.begin());
    }
}

void dispatcher::advance_acknowledged(worker_entry& worker)
{
    mark_renewal(worker.id());
    forget_ends_of_refused_records(worker);
    worker.m_acknowledged =
        worker.m_unstored_completions.empty()
            ? worker.m_last_completion
            : worker.m_unstored_completions.begin()->first - 1;
}

} // namespace kingcuprudder::dispatch
