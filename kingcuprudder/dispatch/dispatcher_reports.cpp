#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// A worker that failed tasks of this many jobs in a row is avoided.
constexpr std::size_t failed_jobs_to_avoid = 2;
constexpr span failing_worker_pause = span(4000);
constexpr span slow_worker_pause = span(3000);

} // namespace

// What workers report: what runs, what ended, and how fast it goes on.

void dispatcher::renewal_answered(const std::string& id,
                                  const worker_report& report, instant sent,
                                  instant now)
{
    worker_entry& where = worker(id);
    if (report.m_incarnation != 0 && where.m_description.m_incarnation != 0 &&
        report.m_incarnation < where.m_description.m_incarnation)
    {
        return; // An answer of an earlier life.
    }
    if (report.m_incarnation != where.m_description.m_incarnation &&
        report.m_incarnation != 0)
    {
        if (where.m_description.m_incarnation != 0)
        {
            new_life(where, report.m_incarnation, now);
        }
        where.m_description.m_incarnation = report.m_incarnation;
    }
    if (!where.m_reachable || !where.m_synced)
    {
        m_log("worker_answers", id,
              {{"running",
                number(static_cast<std::int64_t>(report.m_running.size()))},
               {"ended",
                number(static_cast<std::int64_t>(report.m_ended.size()))}});
    }
    where.m_reachable = true;
    where.m_last_answer = now;
    for (const completion_report& end : report.m_ended)
    {
        apply_end(where, end, now);
    }
    for (const running_report& run : report.m_running)
    {
        apply_running(where, run, now);
    }
    drop_unlisted_runs(where, report, sent, now);
    move_slow_runs(where, now);
    where.m_synced = true;
    advance_acknowledged(where);
}

void dispatcher::renewal_failed(const std::string& id, instant now)
{
    worker_entry& where = worker(id);
    if (where.m_reachable)
    {
        m_log(
            "worker_silent", id,
            {{"tasks", number(static_cast<std::int64_t>(where.m_tasks.size()))},
             {"lease_left_ms", number((where.m_lease_end - now).count())}});
    }
    where.m_reachable = false;
}

void dispatcher::new_life(worker_entry& where, std::int64_t started,
                          instant now)
{
    m_log("worker_restarted", where.id(),
          {{"started_before", number(where.m_description.m_incarnation)},
           {"started", number(started)}});
    lose_worker_runs(where, "worker restarted", now);
    where.m_synced = false;
    where.m_acknowledged = 0;
    where.m_highest_end = 0;
    where.m_unstored_ends.clear();
    where.m_failed_jobs.clear();
    where.m_avoid_until = instant();
    where.m_description.m_incarnation = started;
    for (auto each = m_foreign_runs.begin(); each != m_foreign_runs.end();)
    {
        each = each->first.first == where.id() ? m_foreign_runs.erase(each)
                                               : std::next(each);
    }
}

void dispatcher::lose_worker_runs(worker_entry& where,
                                  const std::string& reason, instant now)
{
    const std::set<task_ref> tasks = where.m_tasks;
    for (const task_ref& ref : tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job != nullptr && job->task(ref).m_active &&
            job->task(ref).m_active->m_worker == where.id())
        {
            run_over(*job, ref, reason, now);
        }
    }
}

void dispatcher::apply_running(worker_entry& where,
                               const running_report& report, instant now)
{
    const std::optional<task_ref> ref = task_ref::parse(report.m_task);
    job_entry* job = ref ? m_jobs.find_task(*ref) : nullptr;
    task_entry* task = job == nullptr ? nullptr : &job->task(*ref);
    if (task == nullptr || !task->m_active ||
        task->m_active->m_worker != where.id() ||
        task->m_active->m_number != report.m_run)
    {
        if (ref)
        {
            const auto [found, added] = m_foreign_runs.try_emplace(
                {where.id(), run_ref{*ref, report.m_run}});
            if (added)
            {
                m_log("unknown_run_found", report.m_task,
                      {{"run", number(report.m_run)}, {"worker", where.id()}});
            }
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
    note_started(*job, active, now);
    follow_progress(*job, *ref, report.m_percent, now);
    if (!report.m_checkpoint.empty())
    {
        task->m_progress.m_checkpoint = report.m_checkpoint;
    }
}

bool dispatcher::works_at_full_speed(const job_entry& job, const task_ref& ref)
{
    const job_step& step = job.step(ref);
    // The members of a gang stand still together, so their speed does not tell
    // which worker is slow; and a new start would lose the work of all.
    if (step.m_persistent || step.m_uses_idle_cpu || step.m_gang)
    {
        return false;
    }
    const task_entry& task = job.m_tasks[ref.m_repeat][ref.m_step][ref.m_index];
    return step.m_data_rack.empty() ||
           step.m_data_rack ==
               worker(task.m_active->m_worker).m_description.m_rack;
}

void dispatcher::follow_progress(job_entry& job, const task_ref& ref,
                                 int percent, instant now)
{
    active_run& run = *job.task(ref).m_active;
    if (!works_at_full_speed(job, ref))
    {
        run.m_progress.restart();
        return;
    }
    run.m_progress.observe(percent, job.m_predicted[ref.m_step], now);
}

void dispatcher::move_slow_runs(worker_entry& where, instant now)
{
    bool any_slow = false;
    bool any_sound = false;
    for (const task_ref& ref : where.m_tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active ||
            job->task(ref).m_active->m_phase != run_phase::confirmed)
        {
            continue;
        }
        const run_progress& progress = job->task(ref).m_active->m_progress;
        any_slow = any_slow || progress.is_slow();
        any_sound =
            any_sound || (progress.percent() > 0 && !progress.is_slow());
    }
    if (!any_slow)
    {
        return;
    }
    if (!any_sound && where.m_avoid_until < now + slow_worker_pause)
    {
        where.m_avoid_until = now + slow_worker_pause;
        m_log("worker_slow", where.id(),
              {{"avoided_ms", number(slow_worker_pause.count())}});
    }
    const std::set<task_ref> tasks = where.m_tasks;
    for (const task_ref& ref : tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active ||
            job->task(ref).m_active->m_phase != run_phase::confirmed)
        {
            continue;
        }
        const active_run& run = *job->task(ref).m_active;
        if (run.m_progress.is_better_elsewhere(
                job->m_predicted[ref.m_step],
                job->step(ref).m_writes_checkpoints))
        {
            begin_stopping(*job, ref, "too slow on this worker", now);
        }
    }
}

void dispatcher::note_started(job_entry& job, active_run& run, instant now)
{
    if (!run.m_started_at)
    {
        run.m_started_at = now;
        run.m_progress.restart();
    }
    if (job.m_state == job_state::queued)
    {
        job.m_state = job_state::running;
        m_jobs.touch(job);
    }
}

void dispatcher::apply_end(worker_entry& where, const completion_report& report,
                           instant now)
{
    if (report.m_number <= where.m_highest_end)
    {
        return;
    }
    where.m_highest_end = report.m_number;
    const std::optional<task_ref> ref = task_ref::parse(report.m_task);
    if (ref)
    {
        m_foreign_runs.erase({where.id(), run_ref{*ref, report.m_run}});
    }
    job_entry* job = ref ? m_jobs.find_task(*ref) : nullptr;
    if (job == nullptr)
    {
        return;
    }
    task_entry& task = job->task(*ref);
    const bool was_active = task.m_active &&
                            task.m_active->m_worker == where.id() &&
                            task.m_active->m_number == report.m_run;
    m_log("run_ended", report.m_task,
          {{"run", number(report.m_run)},
           {"worker", where.id()},
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
        where.m_failed_jobs.clear();
        if (was_active)
        {
            learn_duration(*job, *ref, now);
        }
        apply_done(*job, *ref, report.m_run, now);
    }
    else if (report.m_outcome == run_outcome::failed)
    {
        apply_failure(*job, *ref, report.m_run, where, now);
    }
    if (was_active && job->task(*ref).m_active)
    {
        run_over(*job, *ref, reported_end, now);
    }
    m_jobs.touch(*job);
    where.m_unstored_ends[report.m_number] = {job->m_submission.m_id,
                                              job->m_version};
    m_awaiting_store.insert(where.id());
}

void dispatcher::learn_duration(const job_entry& job, const task_ref& ref,
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
    // One end stands for the whole gang; the members end together.
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
    finish_if_done(job, now);
}

void dispatcher::apply_failure(job_entry& job, const task_ref& ref, int run,
                               worker_entry& where, instant now)
{
    where.m_failed_jobs.insert(ref.m_job);
    where.m_last_failure = now;
    if (where.m_failed_jobs.size() >= failed_jobs_to_avoid)
    {
        where.m_avoid_until = now + failing_worker_pause;
        m_log("worker_avoided", where.id(),
              {{"failed_jobs",
                number(static_cast<std::int64_t>(where.m_failed_jobs.size()))},
               {"for_ms", number(failing_worker_pause.count())}});
    }
    task_ref counted = ref;
    counted.m_index = job.step(ref).m_gang ? 0 : ref.m_index;
    std::vector<int>& failed = job.task(counted).m_progress.m_failed_runs;
    if (std::find(failed.begin(), failed.end(), run) == failed.end())
    {
        failed.push_back(run);
    }
    const int most = job.m_policy.m_max_attempts;
    if (!job.step(ref).m_persistent && !is_final(job.m_state) &&
        static_cast<int>(failed.size()) >= most)
    {
        job.m_state = job_state::failed;
        m_log("job_failed", ref.m_job,
              {{"task", counted.str()}, {"attempts", number(most)}});
        stop_job(job, "job failed", now);
    }
}

void dispatcher::finish_if_done(job_entry& job, instant now)
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
    m_log("job_completed", job.m_submission.m_id,
          {{"took_ms", number((now - job.m_accepted_at).count())},
           {"chain_ms", number(job.m_chain.count())}});
}

void dispatcher::drop_unlisted_runs(worker_entry& where,
                                    const worker_report& report, instant sent,
                                    instant now)
{
    constexpr std::size_t ends_in_a_full_report = 500;
    if (report.m_ended.size() >= ends_in_a_full_report)
    {
        return; // More ends follow, and a missing run may be among them.
    }
    std::set<std::pair<std::string, int>> listed;
    for (const running_report& run : report.m_running)
    {
        listed.emplace(run.m_task, run.m_run);
    }
    const std::set<task_ref> tasks = where.m_tasks;
    for (const task_ref& ref : tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active ||
            job->task(ref).m_active->m_worker != where.id())
        {
            continue;
        }
        const active_run& active = *job->task(ref).m_active;
        // In the same millisecond the report may have come first.
        const bool gone =
            active.m_phase == run_phase::unverified ||
            (active.m_listed_from && *active.m_listed_from < sent);
        if (gone && !listed.contains({ref.str(), active.m_number}))
        {
            run_over(*job, ref, "not on the worker", now);
        }
    }
    for (auto each = m_foreign_runs.begin(); each != m_foreign_runs.end();)
    {
        const bool over = each->first.first == where.id() &&
                          !listed.contains({each->first.second.m_task.str(),
                                            each->first.second.m_run});
        each = over ? m_foreign_runs.erase(each) : std::next(each);
    }
}

void dispatcher::advance_acknowledged(worker_entry& where)
{
    where.m_acknowledged = where.m_unstored_ends.empty()
                               ? where.m_highest_end
                               : where.m_unstored_ends.begin()->first - 1;
}

} // namespace kingcuprudder::dispatch
