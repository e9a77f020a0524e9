#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/dispatch/crash_log.hpp>
#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// A worker may carry out a call without an answer some seconds later.
constexpr span late_start_time = span(15'000);

} // namespace

// The release of runs by the evidence that they have ended.

void dispatcher::release_run(job_entry& job, const task_ref& ref,
                             const run_end_evidence& evidence, instant now)
{
    task_entry& task = job.task(ref);
    const active_run active = *task.m_active;
    KCR_ASSERT(evidence.what() != run_end_evidence::kind::never_sent ||
               active.m_phase == run_phase::assigned);
    worker_entry& worker = find_or_add_worker(active.m_worker);
    const resources demand = job.step(ref).occupied();
    if (active.m_phase == run_phase::assigned)
    {
        worker.m_reserved -= demand;
    }
    else
    {
        worker.m_allocated -= demand;
    }
    if (active.m_phase == run_phase::stopping)
    {
        worker.m_stopping -= demand;
    }
    m_changed = true;
    mark_renewal(worker.id());
    worker.m_tasks.erase(ref);
    m_unsent_starts.erase(ref);
    task.m_active.reset();
    task.m_waiting_since = now;
    task.m_progress.m_worker.clear();
    task.m_progress.m_worker_address.clear();
    m_jobs.mark_changed(job);
    log_release(ref, active, evidence, now);
    if (may_start_late(active, now))
    {
        bar_late_starts(worker, ref, active, now);
    }
    if (job.step(ref).m_gang && !task.m_progress.m_done)
    {
        stop_gang_members(job, ref, evidence.reason(), now);
    }
}

void dispatcher::log_release(const task_ref& ref, const active_run& run,
                             const run_end_evidence& evidence, instant now)
{
    if (evidence.what() == run_end_evidence::kind::reported)
    {
        return; // Logged with the completion.
    }
    const worker_entry& worker = find_or_add_worker(run.m_worker);
    decision_fields fields{
        {"run", number(run.m_number)},
        {"worker", run.m_worker},
        {"phase", std::string(to_string(run.m_phase))},
        {"sends", number(run.m_send_count)},
        {"unanswered_sends", number(run.m_unanswered_sends)},
        {"start_fence", number(run.m_fence)},
        {"worker_started", number(worker.m_incarnation)},
        {"lease_left_ms", number((worker.m_lease_end - now).count())},
        {"held_ms", number((now - run.m_assigned_at).count())}};
    append(fields, evidence.fields(now));
    m_log("run_over", ref.str(), std::move(fields));
}

bool dispatcher::may_start_late(const active_run& run, instant now) const
{
    const bool sent_by_earlier_leader =
        !run.m_first_sent_at && run.m_phase != run_phase::assigned;
    return run.m_unanswered_sends > 0 ||
           (sent_by_earlier_leader && now - m_term_start < late_start_time);
}

void dispatcher::bar_late_starts(worker_entry& worker, const task_ref& ref,
                                 const active_run& run, instant now)
{
    m_required_fence = std::max(m_required_fence, run.m_fence + 1);
    worker.m_late_starts_until = now + late_start_time;
    m_workers_with_late_starts.insert(worker.id());
    m_withdrawn.push_back({worker.id(), {ref, run.m_number}});
    m_log("late_start_possible", ref.str(),
          {{"run", number(run.m_number)},
           {"worker", worker.id()},
           {"worker_started", number(worker.m_incarnation)},
           {"unanswered_sends", number(run.m_unanswered_sends)},
           {"start_fence", number(run.m_fence)},
           {"fence", number(m_fence)}});
}

void dispatcher::forget_late_starts(instant now)
{
    std::erase_if(m_workers_with_late_starts,
                  [this, now](const std::string& id)
                  {
                      worker_entry& worker = find_or_add_worker(id);
                      if (now < *worker.m_late_starts_until)
                      {
                          return false;
                      }
                      worker.m_late_starts_until.reset();
                      mark_renewal(id);
                      return true;
                  });
}

void dispatcher::release_worker_runs(worker_entry& worker,
                                     const run_end_evidence& evidence,
                                     instant now)
{
    const std::set<task_ref> tasks = worker.m_tasks;
    for (const task_ref& ref : tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job != nullptr && job->task(ref).m_active &&
            job->task(ref).m_active->m_worker == worker.id())
        {
            release_run(*job, ref, evidence, now);
        }
    }
}

void dispatcher::release_unlisted_runs(worker_entry& worker,
                                       const worker_report& report,
                                       instant sent, instant now)
{
    constexpr std::size_t completions_in_full_report = 500;
    if (report.m_ended.size() >= completions_in_full_report)
    {
        return; // The missing run may be among the completions that follow.
    }
    std::set<std::pair<std::string, int>> listed;
    for (const running_report& run : report.m_running)
    {
        listed.emplace(run.m_task, run.m_run);
    }
    const std::set<task_ref> tasks = worker.m_tasks;
    for (const task_ref& ref : tasks)
    {
        job_entry* job = m_jobs.find_task(ref);
        if (job == nullptr || !job->task(ref).m_active ||
            job->task(ref).m_active->m_worker != worker.id())
        {
            continue;
        }
        const active_run& active = *job->task(ref).m_active;
        // A report requested in the same millisecond may have been written
        // before the start was confirmed, so the comparison is strict.
        const bool gone =
            active.m_phase == run_phase::unverified ||
            (active.m_listed_from && *active.m_listed_from < sent);
        if (gone && !listed.contains({ref.str(), active.m_number}))
        {
            release_run(*job, ref,
                        run_end_evidence::unlisted(
                            worker.m_incarnation,
                            active.m_listed_from.value_or(instant()), sent),
                        now);
        }
    }
    const auto unlisted =
        run_end_evidence::unlisted(worker.m_incarnation, instant(), sent);
    for (const run_ref& run : m_unrecorded_runs.runs_on(worker.id()))
    {
        if (!listed.contains({run.m_task.str(), run.m_run}))
        {
            forget_unrecorded_run(worker.id(), run, unlisted, now);
        }
    }
}

void dispatcher::forget_unrecorded_run(const std::string& worker,
                                       const run_ref& run,
                                       const run_end_evidence& evidence,
                                       instant now)
{
    const auto stops = m_unrecorded_runs.remove(worker, run);
    if (!stops)
    {
        return;
    }
    decision_fields fields{
        {"run", number(run.m_run)},
        {"worker", worker},
        {"stops", number(stops->count())},
        {"first_stop_age_ms", number(stops->age(now).count())}};
    append(fields, evidence.fields(now));
    m_log("unknown_run_over", run.m_task.str(), std::move(fields));
    mark_renewal(worker);
    m_changed = true;
}

void dispatcher::forget_unrecorded_runs(const std::string& worker,
                                        const run_end_evidence& evidence,
                                        instant now)
{
    for (const run_ref& run : m_unrecorded_runs.runs_on(worker))
    {
        forget_unrecorded_run(worker, run, evidence, now);
    }
}

void dispatcher::expire_leases(instant now)
{
    const instant known_until = m_events_applied_until.value_or(now);
    for (auto& [id, worker] : m_workers)
    {
        const bool unresponsive = !worker.m_reachable || !worker.m_synced;
        const bool holds_runs =
            !worker.m_tasks.empty() || has_unrecorded_runs(id);
        if (unresponsive && worker.m_lease_end < known_until && holds_runs)
        {
            m_log("worker_lease_over", id,
                  {{"tasks",
                    number(static_cast<std::int64_t>(worker.m_tasks.size()))},
                   {"unknown_runs", number(static_cast<std::int64_t>(
                                        m_unrecorded_runs.runs_on(id).size()))},
                   {"last_answer_age_ms",
                    number((now - worker.m_last_answer).count())},
                   {"events_behind_ms", number((now - known_until).count())}});
            const auto evidence = run_end_evidence::lease_over(
                worker.m_incarnation, worker.m_lease_end, known_until);
            if (worker.m_tasks.empty())
            {
                forget_unrecorded_runs(id, evidence, now);
            }
            else
            {
                lose_worker_runs(worker, evidence, now);
            }
        }
    }
}

} // namespace kingcuprudder::dispatch
