#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/dispatch/planner.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// A renewal is given up after this long, so a lease that was extended by an
// unanswered one ends within it; the worker's clock may be 2% slow.
constexpr span lease_end_margin = span(250);
constexpr std::int64_t lease_slack_divisor = 40;

// Room that a stop was to free is not waited for longer than this.
constexpr span room_wait_limit = span(1500);
constexpr int max_start_sends = 3;
constexpr span stop_repeat_interval = span(500);
// A worker that failed tasks of this many jobs in a row is avoided.
constexpr std::size_t failed_jobs_to_avoid = 2;
constexpr span failing_worker_pause = span(4000);
constexpr span busy_worker_pause = span(1000);
constexpr span slow_worker_pause = span(3000);

const std::string listed_end = "ended";

std::string number(std::int64_t value)
{
    return std::to_string(value);
}

} // namespace

dispatcher::dispatcher(const dispatch_limits& limits, decision_log log)
    : m_limits(limits), m_log(std::move(log))
{
}

void dispatcher::begin(instant now)
{
    m_begun = now;
}

void dispatcher::configure(const service_configuration& configuration)
{
    m_configuration = configuration;
}

worker_entry& dispatcher::worker(const std::string& id)
{
    const auto [found, added] = m_workers.try_emplace(id);
    if (added)
    {
        found->second.m_description.m_id = id;
        found->second.m_lease_end = lease_end(m_begun);
    }
    return found->second;
}

instant dispatcher::lease_end(instant sent) const
{
    return sent + m_limits.m_worker_lease +
           m_limits.m_worker_lease / lease_slack_divisor + lease_end_margin;
}

queue_policy dispatcher::policy_of(const job_entry& job) const
{
    const queue_configuration* queue =
        m_configuration.queue_named(job.m_submission.m_queue);
    return queue == nullptr ? job.m_submission.m_policy : queue->m_policy;
}

void dispatcher::add_job(const job_submission& submission,
                         const std::optional<job_progress>& progress,
                         std::int64_t revision, instant now, instant wall_now)
{
    const span age = std::max(span(0), wall_now - submission.m_accepted_at);
    job_entry& job = m_jobs.add(submission, progress, revision, now - age);
    job.predict(m_durations);
    for (std::size_t repeat = 0; repeat < job.m_tasks.size(); ++repeat)
    {
        for (std::size_t step = 0; step < job.m_tasks[repeat].size(); ++step)
        {
            auto& tasks = job.m_tasks[repeat][step];
            for (std::size_t index = 0; index < tasks.size(); ++index)
            {
                task_progress& stored = tasks[index].m_progress;
                if (stored.m_done || stored.m_worker.empty())
                {
                    continue;
                }
                active_run run;
                run.m_number = stored.m_last_run;
                run.m_worker = stored.m_worker;
                run.m_phase = run_phase::unverified;
                run.m_assigned_at = now;
                run.m_sent_at = now;
                run.m_start_checkpoint = stored.m_checkpoint;
                worker_entry& where = worker(stored.m_worker);
                std::int64_t& life = where.m_description.m_started;
                if (stored.m_worker_started < life)
                {
                    stored.m_worker.clear(); // That process is gone.
                    continue;
                }
                if (life != 0 && stored.m_worker_started > life)
                {
                    new_life(where, stored.m_worker_started, now);
                }
                life = stored.m_worker_started;
                tasks[index].m_active = run;
                where.m_tasks.insert(
                    task_ref{submission.m_id, static_cast<int>(repeat),
                             static_cast<int>(step), static_cast<int>(index)});
                add_held(where, submission.m_steps[step]);
            }
        }
    }
    m_log("job_loaded", submission.m_id,
          {{"queue", submission.m_queue},
           {"revision", number(revision)},
           {"age_ms", number(age.count())}});
    if (m_early_cancellations.erase(submission.m_id) > 0)
    {
        cancel_job(submission.m_id, now);
    }
}

bool dispatcher::knows_job(const std::string& id)
{
    return m_jobs.find(id) != nullptr;
}

void dispatcher::cancel_job(const std::string& id, instant now)
{
    job_entry* job = m_jobs.find(id);
    if (job == nullptr)
    {
        m_early_cancellations.insert(id);
        return;
    }
    if (is_final(job->m_state))
    {
        return;
    }
    job->m_cancelled = true;
    job->m_state = job_state::cancelled;
    m_log("job_cancelled", id, {});
    stop_job(*job, "cancelled", now);
    m_jobs.touch(*job);
}

void dispatcher::worker_listed(const worker_description& description,
                               instant now)
{
    worker_entry& where = worker(description.m_id);
    const bool known_life = where.m_description.m_started != 0;
    if (known_life && description.m_started != 0 &&
        description.m_started != where.m_description.m_started)
    {
        new_life(where, description.m_started, now);
    }
    const std::int64_t started = description.m_started != 0
                                     ? description.m_started
                                     : where.m_description.m_started;
    if (!where.m_listed ||
        where.m_description.m_draining != description.m_draining)
    {
        m_log("worker_listed", description.m_id,
              {{"draining", description.m_draining ? "true" : "false"},
               {"zone", description.m_zone},
               {"gpus", number(description.m_capacity.m_gpus)}});
    }
    where.m_description = description;
    where.m_description.m_started = started;
    where.m_listed = true;
    where.m_last_heartbeat = now;
}

void dispatcher::worker_unlisted(const std::string& id, instant now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || !found->second.m_listed)
    {
        return;
    }
    found->second.m_listed = false;
    m_log("worker_unlisted", id,
          {{"tasks",
            number(static_cast<std::int64_t>(found->second.m_tasks.size()))},
           {"last_answer_age_ms",
            number((now - found->second.m_last_answer).count())}});
}

void dispatcher::renewal_sent(const std::string& id, instant sent)
{
    worker_entry& where = worker(id);
    where.m_lease_end = std::max(where.m_lease_end, lease_end(sent));
}

void dispatcher::renewal_answered(const std::string& id,
                                  const worker_report& report, instant sent,
                                  instant now)
{
    worker_entry& where = worker(id);
    if (report.m_started != 0 && where.m_description.m_started != 0 &&
        report.m_started < where.m_description.m_started)
    {
        return; // An answer of an earlier life.
    }
    if (report.m_started != where.m_description.m_started &&
        report.m_started != 0)
    {
        if (where.m_description.m_started != 0)
        {
            new_life(where, report.m_started, now);
        }
        where.m_description.m_started = report.m_started;
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
    for (const ended_report& end : report.m_ended)
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
          {{"started_before", number(where.m_description.m_started)},
           {"started", number(started)}});
    lose_worker_runs(where, "worker restarted", now);
    where.m_synced = false;
    where.m_acknowledged = 0;
    where.m_highest_end = 0;
    where.m_unstored_ends.clear();
    where.m_failed_jobs.clear();
    where.m_avoid_until = instant();
    where.m_description.m_started = started;
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

void dispatcher::add_held(worker_entry& where, const job_step& step)
{
    where.m_held += step.m_demand;
}

void dispatcher::assign(job_entry& job, const task_ref& ref,
                        worker_entry& where, int run, instant now)
{
    task_entry& task = job.task(ref);
    active_run active;
    active.m_number = run;
    active.m_worker = where.id();
    active.m_assigned_at = now;
    active.m_start_checkpoint = task.m_progress.m_checkpoint;
    task.m_progress.m_last_run = run;
    task.m_progress.m_worker = where.id();
    task.m_progress.m_worker_started = where.m_description.m_started;
    m_jobs.touch(job);
    active.m_needs_version = job.m_version;
    task.m_active = active;
    where.m_planned += job.step(ref).m_demand;
    where.m_tasks.insert(ref);
    const resources left = where.plannable();
    m_log(
        "task_assigned", ref.str(),
        {{"run", number(run)},
         {"worker", where.id()},
         {"zone", where.m_description.m_zone},
         {"rack", where.m_description.m_rack},
         {"gpus_left", number(left.m_gpus)},
         {"worker_answer_age_ms", number((now - where.m_last_answer).count())},
         {"waited_ms", number((now - job.m_accepted_at).count())}});
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
        run_over(job, ref, reason, now);
        return;
    }
    if (task.m_active->m_phase == run_phase::unverified)
    {
        // Orders of an earlier term are refused, so every report counts.
        task.m_active->m_listed_from = m_begun;
    }
    task.m_active->m_phase = run_phase::stopping;
    task.m_active->m_stop_sent_at.reset();
    worker(task.m_active->m_worker).m_leaving += job.step(ref).m_demand;
    m_log("run_stopping", ref.str(),
          {{"run", number(task.m_active->m_number)},
           {"worker", task.m_active->m_worker},
           {"percent", number(task.m_active->m_progress.percent())},
           {"reason", reason}});
}

void dispatcher::run_over(job_entry& job, const task_ref& ref,
                          const std::string& reason, instant now)
{
    task_entry& task = job.task(ref);
    const active_run active = *task.m_active;
    worker_entry& where = worker(active.m_worker);
    const resources& demand = job.step(ref).m_demand;
    if (active.m_phase == run_phase::assigned)
    {
        where.m_planned -= demand;
    }
    else
    {
        where.m_held -= demand;
    }
    if (active.m_phase == run_phase::stopping)
    {
        where.m_leaving -= demand;
    }
    where.m_tasks.erase(ref);
    task.m_active.reset();
    task.m_progress.m_worker.clear();
    m_jobs.touch(job);
    if (reason != listed_end) // The end has a line of its own.
    {
        m_log("run_over", ref.str(),
              {{"run", number(active.m_number)},
               {"worker", active.m_worker},
               {"reason", reason},
               {"held_ms", number((now - active.m_assigned_at).count())}});
    }
    if (job.step(ref).m_gang && !task.m_progress.m_done)
    {
        break_gang(job, ref, "another member ended: " + reason, now);
    }
}

void dispatcher::break_gang(job_entry& job, const task_ref& ref,
                            const std::string& reason, instant now)
{
    task_ref member = ref;
    const int count = job.step(ref).m_count;
    for (member.m_index = 0; member.m_index < count; ++member.m_index)
    {
        if (member.m_index != ref.m_index)
        {
            begin_stopping(job, member, reason, now);
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
    if (step.m_persistent || step.m_fills || step.m_gang)
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
        if (run.m_progress.is_better_elsewhere(job->m_predicted[ref.m_step],
                                               job->step(ref).m_checkpoints))
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

void dispatcher::apply_end(worker_entry& where, const ended_report& report,
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
           {"how", std::string(to_string(report.m_how))},
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
    if (report.m_how == run_end::done && !job->step(*ref).m_persistent)
    {
        where.m_failed_jobs.clear();
        if (was_active)
        {
            learn_duration(*job, *ref, now);
        }
        apply_done(*job, *ref, report.m_run, now);
    }
    else if (report.m_how == run_end::failed)
    {
        apply_failure(*job, *ref, report.m_run, where, now);
    }
    if (was_active && job->task(*ref).m_active)
    {
        run_over(*job, *ref, listed_end, now);
    }
    m_jobs.touch(*job);
    where.m_unstored_ends[report.m_number] = {job->m_submission.m_id,
                                              job->m_version};
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
    const int most = policy_of(job).m_max_attempts;
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
        const bool gone =
            active.m_phase == run_phase::unverified ||
            (active.m_listed_from && *active.m_listed_from <= sent);
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

void dispatcher::start_finished(const start_order& order, order_outcome outcome,
                                instant now)
{
    const task_ref& ref = order.m_run.m_task;
    if (outcome != order_outcome::accepted)
    {
        m_log("start_not_accepted", ref.str(),
              {{"run", number(order.m_run.m_run)},
               {"worker", order.m_worker},
               {"outcome", std::string(to_string(outcome))}});
    }
    if (outcome == order_outcome::refused_fence)
    {
        m_deposed = true;
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
    worker_entry& where = worker(order.m_worker);
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
            note_started(*job, active, now);
        }
        return;
    case order_outcome::refused_old:
        // The run has ended there; its end follows with the next report.
        active.m_listed_from = now;
        return;
    case order_outcome::may_have_arrived:
        if (active.m_sends >= max_start_sends)
        {
            begin_stopping(*job, ref, "start unanswered", now);
        }
        else if (active.m_phase == run_phase::sent)
        {
            active.m_sent_at = instant(); // Send it again at once.
        }
        return;
    case order_outcome::refused_busy:
    case order_outcome::not_sent:
        where.m_avoid_until = now + busy_worker_pause;
        break;
    default:
        break;
    }
    if (active.m_sends > 1)
    {
        // An earlier, unanswered send may still be carried out.
        begin_stopping(*job, ref, "start refused after an unanswered one", now);
        return;
    }
    run_over(*job, ref, std::string(to_string(outcome)), now);
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
        m_deposed = true;
        return;
    }
    job_entry* job = m_jobs.find_task(order.m_run.m_task);
    if (job == nullptr || !job->task(order.m_run.m_task).m_active)
    {
        return;
    }
    active_run& active = *job->task(order.m_run.m_task).m_active;
    if (active.m_worker == order.m_worker &&
        active.m_number == order.m_run.m_run &&
        active.m_phase == run_phase::stopping &&
        outcome == order_outcome::accepted)
    {
        active.m_listed_from = now;
    }
}

std::vector<job_write> dispatcher::take_writes(std::size_t most_entries)
{
    return m_jobs.take_writes(most_entries);
}

void dispatcher::write_stored(const std::string& job, std::int64_t version,
                              std::int64_t revision)
{
    m_jobs.stored(job, version, revision);
    for (auto& [id, where] : m_workers)
    {
        std::erase_if(where.m_unstored_ends,
                      [&](const auto& each) {
                          return each.second.first == job &&
                                 each.second.second <= version;
                      });
        advance_acknowledged(where);
    }
}

void dispatcher::write_failed(const std::string& job)
{
    m_jobs.write_failed(job);
}

void dispatcher::revision_seen(const std::string& id, std::int64_t revision)
{
    if (job_entry* job = m_jobs.find(id))
    {
        job->m_revision = revision;
    }
}

dispatch_effects dispatcher::step(instant now, instant wall_now)
{
    dispatch_effects effects;
    expire_leases(now);
    release_stuck_assignments(now);
    planner(*this, now, wall_now).run();
    send_stops(now, effects);
    send_starts(now, effects);
    effects.m_deposed = m_deposed;
    return effects;
}

void dispatcher::expire_leases(instant now)
{
    for (auto& [id, where] : m_workers)
    {
        const bool silent = !where.m_reachable || !where.m_synced;
        if (silent && where.m_lease_end < now && !where.m_tasks.empty())
        {
            m_log("worker_lease_over", id,
                  {{"tasks",
                    number(static_cast<std::int64_t>(where.m_tasks.size()))},
                   {"last_answer_age_ms",
                    number((now - where.m_last_answer).count())}});
            lose_worker_runs(where, "worker lease over", now);
        }
    }
}

void dispatcher::send_stops(instant now, dispatch_effects& effects)
{
    const auto due = [now](const std::optional<instant>& sent)
    { return !sent || now - *sent >= stop_repeat_interval; };
    for (auto& [id, where] : m_workers)
    {
        if (where.m_leaving == resources())
        {
            continue;
        }
        for (const task_ref& ref : where.m_tasks)
        {
            job_entry* job = m_jobs.find_task(ref);
            if (job == nullptr || !job->task(ref).m_active)
            {
                continue;
            }
            active_run& active = *job->task(ref).m_active;
            if (active.m_phase == run_phase::stopping &&
                due(active.m_stop_sent_at))
            {
                active.m_stop_sent_at = now;
                effects.m_stops.push_back({id, {ref, active.m_number}});
            }
        }
    }
    for (auto& [where, sent] : m_foreign_runs)
    {
        if (due(sent))
        {
            sent = now;
            effects.m_stops.push_back({where.first, where.second});
        }
    }
}

void dispatcher::release_stuck_assignments(instant now)
{
    for (auto& [id, where] : m_workers)
    {
        const std::set<task_ref> tasks = where.m_tasks;
        for (const task_ref& ref : tasks)
        {
            job_entry* job = m_jobs.find_task(ref);
            if (job == nullptr || !job->task(ref).m_active ||
                job->task(ref).m_active->m_phase != run_phase::assigned)
            {
                continue;
            }
            const active_run& active = *job->task(ref).m_active;
            const bool unusable = !where.m_reachable || !where.m_synced ||
                                  where.m_description.m_draining;
            const bool stored = job->m_stored_version >= active.m_needs_version;
            if (unusable ||
                (stored && now - active.m_assigned_at > room_wait_limit))
            {
                run_over(*job, ref, "no room on the worker", now);
            }
        }
    }
}

bool dispatcher::has_room(job_entry& job, const task_ref& ref)
{
    const resources& demand = job.step(ref).m_demand;
    if (!job.step(ref).m_gang)
    {
        return worker(job.task(ref).m_active->m_worker)
            .free_now()
            .covers(demand);
    }
    // Members that started alone would hold their resources idle, so a gang
    // starts when there is room for all that have not started.
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
    return std::all_of(
        members.begin(), members.end(),
        [&](const auto& each)
        { return worker(each.first).free_now().covers(demand * each.second); });
}

void dispatcher::send_starts(instant now, dispatch_effects& effects)
{
    for (auto& [id, where] : m_workers)
    {
        for (const task_ref& ref : where.m_tasks)
        {
            if (job_entry* job = m_jobs.find_task(ref))
            {
                send_start(*job, ref, now, effects);
            }
        }
    }
}

void dispatcher::send_start(job_entry& job, const task_ref& ref, instant now,
                            dispatch_effects& effects)
{
    active_run& active = *job.task(ref).m_active;
    worker_entry& where = worker(active.m_worker);
    const resources& demand = job.step(ref).m_demand;
    if (active.m_phase == run_phase::assigned)
    {
        if (job.m_stored_version < active.m_needs_version ||
            !has_room(job, ref))
        {
            return;
        }
        where.m_planned -= demand;
        add_held(where, job.step(ref));
        active.m_phase = run_phase::sent;
    }
    else if (active.m_phase != run_phase::sent || active.m_sent_at != instant())
    {
        return;
    }
    active.m_sent_at = now;
    ++active.m_sends;
    where.m_lease_end = std::max(where.m_lease_end, lease_end(now));
    effects.m_starts.push_back({where.id(),
                                {ref, active.m_number},
                                job.m_submission.m_spec,
                                active.m_start_checkpoint});
}

std::vector<renewal_request> dispatcher::renewals() const
{
    std::vector<renewal_request> requests;
    for (const auto& [id, where] : m_workers)
    {
        const bool gone = !where.m_listed && where.m_tasks.empty();
        if (gone || where.m_description.m_address.empty())
        {
            continue;
        }
        renewal_request request;
        request.m_worker = id;
        request.m_address = where.m_description.m_address;
        request.m_started = where.m_description.m_started;
        request.m_acknowledged = where.m_acknowledged;
        request.m_awaits_store = !where.m_unstored_ends.empty();
        request.m_clock = where.m_description.m_clock;
        request.m_clock_read_at = where.m_last_heartbeat;
        request.m_needed =
            (where.m_listed && (!where.m_synced || !where.m_reachable)) ||
            !where.m_tasks.empty() || request.m_awaits_store;
        requests.push_back(request);
    }
    return requests;
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

} // namespace kingcuprudder::dispatch
