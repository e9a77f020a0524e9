#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder::dispatch
{

namespace
{

// A lease renewal times out after this long, so a lease that an unanswered
// renewal has extended expires at most this much later. The worker's clock may
// be 2% slow, for which the divisor adds 2.5% of the lease.
constexpr span lease_end_margin = span(250);
constexpr std::int64_t lease_clock_error_divisor = 40;
// A silent worker with two addresses is called this long at each of them.
constexpr span address_trial_time = span(1000);
// The worker list drops the entry of a silent worker after so many intervals.
constexpr int missed_heartbeats = 3;
// Heartbeats and the removal of expired entries may be this much early.
constexpr span expiry_margin = span(250);
// With room for it twice over, a job has something running within this time.
constexpr span max_idle_time_beside_room = span(3000);

} // namespace

// Jobs, workers and stored records. dispatcher_reports.cpp applies worker
// reports; dispatcher_orders.cpp creates the orders to workers;
// dispatcher_releases.cpp releases runs.

dispatcher::dispatcher(const dispatch_limits& limits, decision_log log)
    : m_limits(limits), m_log(std::move(log))
{
}

void dispatcher::begin_term(instant now, std::int64_t fence)
{
    m_term_start = now;
    m_fence = fence;
}

void dispatcher::fence_raised(std::int64_t fence)
{
    m_fence = fence;
}

void dispatcher::configure(const service_configuration& configuration)
{
    m_configuration = configuration;
    m_changed = true;
    for (auto& [id, job] : m_jobs.jobs())
    {
        update_policy(job);
    }
}

worker_entry& dispatcher::find_or_add_worker(const std::string& id)
{
    const auto [found, added] = m_workers.try_emplace(id);
    if (added)
    {
        found->second.m_entry.m_id = id;
        found->second.m_description.m_id = id;
        found->second.m_lease_end = lease_end(m_term_start);
    }
    return found->second;
}

instant dispatcher::lease_end(instant sent) const
{
    return sent + m_limits.m_worker_lease +
           m_limits.m_worker_lease / lease_clock_error_divisor +
           lease_end_margin;
}

void dispatcher::update_policy(job_entry& job) const
{
    const queue_configuration* queue =
        m_configuration.queue_named(job.m_submission.m_queue);
    job.m_policy =
        queue == nullptr ? job.m_submission.m_policy : queue->m_policy;
}

void dispatcher::add_job(const job_submission& submission,
                         const std::optional<job_progress>& progress,
                         std::int64_t revision, instant now, instant wall_now)
{
    const span age = std::max(span(0), wall_now - submission.m_accepted_at);
    job_entry& job = m_jobs.add(submission, progress, revision, now - age);
    update_policy(job);
    job.refresh_prediction(m_durations, now);
    task_ref ref{submission.m_id, 0, 0, 0};
    for (auto& repeat : job.m_tasks)
    {
        ref.m_step = 0;
        for (auto& step : repeat)
        {
            ref.m_index = 0;
            for (task_entry& task : step)
            {
                task.m_waiting_since = now;
                task.m_suspicion = task.m_progress.m_crashes.any() ? 1 : 0;
                restore_run(job, ref, now);
                ++ref.m_index;
            }
            ++ref.m_step;
        }
        ++ref.m_repeat;
    }
    m_changed = true;
    m_log("job_loaded", submission.m_id,
          {{"queue", submission.m_queue},
           {"revision", number(revision)},
           {"age_ms", number(age.count())}});
    const auto cancelled = m_pending_cancellations.find(submission.m_id);
    if (cancelled == m_pending_cancellations.end())
    {
        return;
    }
    // An older one was removed before the job could be accepted.
    if (cancelled->second > revision)
    {
        cancel_job(submission.m_id, now, cancelled->second);
    }
    m_pending_cancellations.erase(submission.m_id);
}

void dispatcher::restore_run(job_entry& job, const task_ref& ref, instant now)
{
    task_entry& task = job.task(ref);
    task_progress& stored = task.m_progress;
    if (stored.m_done || stored.m_worker.empty())
    {
        return;
    }
    worker_entry& worker = find_or_add_worker(stored.m_worker);
    const bool is_old = stored.m_worker_incarnation < worker.m_incarnation;
    const bool holds_it =
        m_unrecorded_runs.contains(worker.id(), {ref, stored.m_last_run});
    if (is_old && worker.m_synced && !holds_it)
    {
        // The run ended with its process.
        m_log("recorded_run_over", ref.str(),
              {{"run", number(stored.m_last_run)},
               {"worker", stored.m_worker},
               {"worker_started_then", number(stored.m_worker_incarnation)},
               {"worker_started", number(worker.m_incarnation)}});
        m_runs_lost_before_term[stored.m_worker].push_back(ref);
        stored.m_worker.clear();
        stored.m_worker_address.clear();
        return;
    }
    worker.m_incarnation =
        std::max(worker.m_incarnation, stored.m_worker_incarnation);
    if (!is_old && !stored.m_worker_address.empty())
    {
        worker.m_answered_address = stored.m_worker_address;
    }
    choose_called_address(worker);
    note_listed_incarnation(worker, worker.m_description.m_incarnation, now);
    if (is_old || worker.m_restart_listed_at)
    {
        // It probably ended with its process; an answer of the worker decides.
        m_runs_lost_before_term[stored.m_worker].push_back(ref);
    }
    active_run run;
    run.m_number = stored.m_last_run;
    run.m_worker = stored.m_worker;
    run.m_phase = run_phase::unverified;
    run.m_assigned_at = now;
    run.m_start_checkpoint = stored.m_checkpoint;
    task.m_active = run;
    mark_renewal(worker.id());
    worker.m_tasks.insert(ref);
    add_allocated(worker, job.step(ref));
}

bool dispatcher::has_job(const std::string& id)
{
    return m_jobs.find(id) != nullptr;
}

void dispatcher::forget_cancellation(const std::string& id,
                                     std::int64_t revision)
{
    const auto found = m_pending_cancellations.find(id);
    if (found != m_pending_cancellations.end() && found->second <= revision)
    {
        m_pending_cancellations.erase(found);
    }
}

void dispatcher::cancel_job(const std::string& id, instant now,
                            std::int64_t revision)
{
    job_entry* job = m_jobs.find(id);
    if (job == nullptr)
    {
        std::int64_t& pending = m_pending_cancellations[id];
        pending = std::max(pending, revision);
        return;
    }
    if (is_final(job->m_state))
    {
        return;
    }
    job->m_cancelled = true;
    job->m_state = job_state::cancelled;
    m_failures.job_ended(id);
    m_log("job_cancelled", id, {});
    stop_job(*job, "cancelled", now);
    m_jobs.mark_changed(*job);
}

void dispatcher::worker_listed(const worker_description& description,
                               instant now)
{
    worker_entry& worker = find_or_add_worker(description.m_id);
    note_listed_incarnation(worker, description.m_incarnation, now);
    if (!worker.m_listed ||
        worker.m_description.m_draining != description.m_draining ||
        worker.m_description.m_address != description.m_address)
    {
        m_log("worker_listed", description.m_id,
              {{"draining", description.m_draining ? "true" : "false"},
               {"zone", description.m_zone},
               {"address", description.m_address},
               {"address_before", worker.m_description.m_address},
               {"started", number(description.m_incarnation)},
               {"gpus", number(description.m_capacity.m_gpus)}});
    }
    note_heartbeat(worker, description);
    // Every entry has another clock reading, which alone changes nothing.
    worker.m_entry.m_clock = description.m_clock;
    if (!worker.m_listed || worker.m_entry != description)
    {
        m_changed = true;
        mark_renewal(description.m_id);
    }
    const bool has_moved = worker.m_entry.m_address != description.m_address;
    worker.m_entry = description;
    worker.m_entry_read_at = now;
    if (description.m_draining)
    {
        worker.m_drain_announced_by = description.m_incarnation;
    }
    worker.m_left_at.reset();
    worker.use_entry();
    choose_called_address(worker);
    worker.m_listed = true;
    if (has_moved && worker.m_silent_since)
    {
        // A next process there must learn the token before a late start comes.
        worker.m_address_tried_at = instant();
        call_other_address(worker, now);
    }
}

void dispatcher::choose_called_address(worker_entry& worker)
{
    const std::string& listed = worker.m_description.m_address;
    if (worker.m_answered_address.empty())
    {
        worker.m_called_address = listed;
    }
    else if (worker.m_called_address.empty() ||
             worker.m_called_address != listed)
    {
        worker.m_called_address = worker.m_answered_address;
    }
}

void dispatcher::call_other_address(worker_entry& worker, instant now)
{
    const std::string& listed = worker.m_description.m_address;
    const std::string& answered = worker.m_answered_address;
    if (answered.empty() || listed.empty() || answered == listed ||
        now - worker.m_address_tried_at < address_trial_time)
    {
        return;
    }
    worker.m_address_tried_at = now;
    worker.m_called_address =
        worker.m_called_address == answered ? listed : answered;
    m_log("worker_address_tried", worker.id(),
          {{"address", worker.m_called_address},
           {"answered_at", answered},
           {"listed", listed}});
    mark_renewal(worker.id());
}

bool dispatcher::is_called_at(const std::string& worker,
                              const std::string& address) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() &&
           found->second.m_called_address == address;
}

void dispatcher::note_listed_incarnation(worker_entry& worker,
                                         std::int64_t listed, instant now)
{
    if (worker.m_incarnation == 0 || listed <= worker.m_incarnation ||
        worker.m_refuted_incarnations.contains(listed))
    {
        worker.m_restart_listed_at.reset();
        return;
    }
    if (worker.m_restart_listed_at &&
        worker.m_description.m_incarnation == listed)
    {
        return; // It is being checked.
    }
    worker.m_restart_listed_at = now;
    worker.m_synced = false;
    m_log(
        "restart_listed", worker.id(),
        {{"started", number(worker.m_incarnation)},
         {"listed", number(listed)},
         {"last_answer_age_ms", number((now - worker.m_last_answer).count())}});
}

void dispatcher::worker_unlisted(const std::string& id, instant now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.m_listed)
    {
        return;
    }
    found->second.m_listed = false;
    m_changed = true;
    mark_renewal(id);
    m_log("worker_unlisted", id,
          {{"tasks",
            number(static_cast<std::int64_t>(found->second.m_tasks.size()))},
           {"last_answer_age_ms",
            number((now - found->second.m_last_answer).count())}});
}

void dispatcher::worker_removed(const std::string& id, instant now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.m_listed)
    {
        return;
    }
    worker_entry& worker = found->second;
    worker_unlisted(id, now);
    const span expiry =
        m_limits.m_heartbeat_interval * missed_heartbeats - expiry_margin;
    if (worker.leaves_by(now, expiry))
    {
        worker.m_left_at = now;
        m_log("worker_leaves", id,
              {{"entry_age_ms",
                number((now - *worker.entry_written_after()).count())},
               {"drain_left_ms",
                number(worker.m_entry.m_drain_remaining.count())}});
    }
}

void dispatcher::renewal_sent(const std::string& id, instant sent)
{
    worker_entry& worker = find_or_add_worker(id);
    worker.m_lease_end = std::max(worker.m_lease_end, lease_end(sent));
}

std::vector<job_write> dispatcher::take_writes(std::size_t max_entries)
{
    return take_writes(max_entries,
                       [](const std::string&, bool) { return true; });
}

std::vector<job_write> dispatcher::take_writes(std::size_t max_entries,
                                               const write_filter& may_take)
{
    return m_jobs.take_writes(max_entries, may_take);
}

void dispatcher::write_stored(const std::string& job, std::int64_t version,
                              std::int64_t revision)
{
    m_jobs.stored(job, version, revision);
    for (auto each = m_workers_awaiting_store.begin();
         each != m_workers_awaiting_store.end();)
    {
        worker_entry& worker = find_or_add_worker(*each);
        std::erase_if(worker.m_unstored_completions,
                      [&](const auto& end) {
                          return end.second.first == job &&
                                 end.second.second <= version;
                      });
        advance_acknowledged(worker);
        each = worker.m_unstored_completions.empty()
                   ? m_workers_awaiting_store.erase(each)
                   : std::next(each);
    }
}

void dispatcher::write_failed(const std::string& job)
{
    m_jobs.write_failed(job);
}

void dispatcher::write_refused(const std::string& id, instant now)
{
    m_jobs.write_refused(id);
    if (job_entry* job = m_jobs.find(id))
    {
        // They would keep capacity from other jobs.
        release_assignments(*job, "record refused", now);
    }
}

void dispatcher::update_revision(const std::string& id, std::int64_t revision)
{
    if (job_entry* job = m_jobs.find(id))
    {
        job->m_revision = revision;
    }
}

void dispatcher::plan(instant now, instant wall_now)
{
    attribute_losses_of_earlier_term();
    attribute_restarts_before_term(now);
    attribute_noted_losses(now);
    expire_leases(now);
    release_stuck_assignments(now);
    m_changed = false;
    planner(*this, now, wall_now).run();
}

dispatch_effects dispatcher::collect_orders(instant now)
{
    dispatch_effects effects;
    expire_leases(now);
    forget_late_starts(now);
    send_stops(now, effects);
    send_starts(now, effects);
    effects.m_withdrawn = std::exchange(m_withdrawn, {});
    effects.m_superseded = m_superseded;
    return effects;
}

std::map<std::string, int> dispatcher::waiting_by_queue() const
{
    std::map<std::string, int> waiting;
    for (const auto& [id, job] : m_jobs.jobs())
    {
        if (job.m_state == job_state::queued)
        {
            ++waiting[job.m_submission.m_queue];
        }
    }
    return waiting;
}

std::size_t dispatcher::idle_jobs_beside_room(instant now) const
{
    const auto& jobs = m_jobs.jobs();
    return std::count_if(jobs.begin(), jobs.end(),
                         [now](const auto& each)
                         {
                             const job_idleness& idle = each.second.m_idleness;
                             return idle.m_room_for_two &&
                                    idle.lasts(now) > max_idle_time_beside_room;
                         });
}

} // namespace kingcuprudder::dispatch
