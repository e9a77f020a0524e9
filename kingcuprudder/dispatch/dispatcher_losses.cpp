#include <kingcuprudder/dispatch/crash_log.hpp>
#include <kingcuprudder/dispatch/dispatcher.hpp>

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

namespace kingcuprudder::dispatch
{

namespace
{

// Silent workers are remembered this long, which is more than it takes until a
// lease has expired.
constexpr span silence_memory = span(15'000);
// A suspected task is on trial for this long after its start is sent. Until it
// is sent, its worker is kept for it at most for the second time.
constexpr span trial_after_start = crash_after_start + span(500);
constexpr span trial_before_start = span(2000);
// A heartbeat was written after a failed call if the worker's clock shows this
// much more time; an answer may have waited that long for this process.
constexpr span heartbeat_margin = span(500);
// A run that lasts this long has not crashed its worker.
constexpr span lasting_run = span(30'000);
// Workers that can answer have answered a new leader by then.
constexpr span first_answers_time = span(3000);

std::string percent(double share)
{
    return number(std::llround(100 * share));
}

} // namespace

// Attributes lost workers to the tasks that may have crashed them.

void dispatcher::note_start(worker_entry& worker, const task_entry& task,
                            const std::string& task_name, instant now)
{
    worker.m_last_start_at = now;
    if (task.m_progress.m_crashes.any())
    {
        const bool sent = task.m_active && task.m_active->m_first_sent_at;
        const span trial = sent ? trial_after_start : trial_before_start;
        if (worker.m_trial_until <= now)
        {
            worker.m_trial_suspicion = task.suspicion();
        }
        else if (!sent)
        {
            worker.m_trial_suspicion += task.suspicion();
        }
        worker.m_trial_until = now + trial;
        m_log("worker_on_trial", worker.id(),
              {{"task", task_name},
               {"start_sent", sent ? "true" : "false"},
               {"suspicion_percent", percent(task.suspicion())},
               {"trial_percent", percent(worker.m_trial_suspicion)},
               {"for_ms", number(trial.count())}});
    }
}

void dispatcher::note_silence(worker_entry& worker, const call_result& result,
                              instant now)
{
    if (worker.m_silent_since)
    {
        return;
    }
    if (!worker.has_answered())
    {
        // When it was lost is not known.
        worker.m_process_ended =
            worker.m_process_ended || result.shows_ended_process();
        return;
    }
    worker.m_silent_since = now;
    worker.m_process_ended = result.shows_ended_process();
    worker.m_found_replaced =
        result.m_outcome == order_outcome::wrong_incarnation;
    std::vector<task_ref> refs;
    const bool follows_a_start = loss_of(worker, now, refs).follows_a_start();
    std::erase_if(m_silent_workers, [now](const silent_worker& each)
                  { return now - each.m_silent_since > silence_memory; });
    m_silent_workers.push_back(
        {worker.id(), now, worker.m_process_ended, follows_a_start});
}

void dispatcher::note_answer(worker_entry& worker)
{
    worker.m_process_ended = false;
    worker.m_found_replaced = false;
    worker.m_cut_off = false;
    if (worker.m_silent_since)
    {
        worker.m_silent_since.reset();
        std::erase_if(m_silent_workers, [&worker](const silent_worker& each)
                      { return each.m_id == worker.id(); });
    }
    withdraw_loss(worker);
}

void dispatcher::note_heartbeat(worker_entry& worker,
                                const worker_description& description)
{
    if (!worker.m_silent_since || !worker.m_process_ended ||
        description.m_incarnation != worker.m_incarnation ||
        description.m_clock == 0 || worker.m_answer_clock == 0)
    {
        return;
    }
    const span answer_age = *worker.m_silent_since - worker.m_last_answer;
    const span written = span(description.m_clock - worker.m_answer_clock);
    if (written > answer_age + heartbeat_margin)
    {
        m_log("silent_worker_lives", worker.id(),
              {{"written_after_ms", number((written - answer_age).count())}});
        worker.m_process_ended = false;
        worker.m_cut_off = true;
        withdraw_loss(worker);
    }
}

void dispatcher::withdraw_loss(worker_entry& worker)
{
    if (worker.m_loss_attributed)
    {
        worker.m_loss_attributed = false;
        m_unexplained_losses.erase(worker.m_description.m_address);
    }
    for (const attributed_loss& each : worker.m_attributed)
    {
        if (job_entry* job = m_jobs.find_task(each.m_task))
        {
            task_entry& task = job->task(each.m_task);
            task.m_progress.m_crashes.add(each.m_suspicion, -1);
            task.m_suspicion -= each.m_share;
            task.m_progress.m_workers_ended -= each.m_counts_as_ended ? 1 : 0;
            task.m_progress.m_lost_run = 0;
            task.m_lost_addresses.erase(worker.m_description.m_address);
            task.m_losses_by_rack[worker.m_description.m_rack] -=
                each.m_suspicion == crash_suspicion::none ? 0 : 1;
            m_jobs.mark_changed(*job);
            decision_fields fields{
                {"worker", worker.id()},
                {"suspicion", std::string(to_string(each.m_suspicion))}};
            append(fields, crash_fields(task.m_progress));
            m_log("crash_withdrawn", each.m_task.str(), std::move(fields));
        }
    }
    worker.m_attributed.clear();
}

worker_loss dispatcher::loss_of(const worker_entry& worker, instant now,
                                std::vector<task_ref>& refs)
{
    worker_loss loss;
    loss.m_silent_since = worker.m_silent_since;
    loss.m_process_ended = worker.m_process_ended;
    loss.m_found_replaced = worker.m_found_replaced;
    loss.m_last_answer = worker.m_last_answer;
    loss.m_unreliable = is_unreliable(worker, now);
    if (!loss.m_silent_since && worker.has_answered())
    {
        loss.m_silent_since = now; // It restarted between two renewals.
        loss.m_process_ended = true;
    }
    for (const task_ref& ref : worker.m_tasks)
    {
        const job_entry* job = m_jobs.find_task(ref);
        const task_entry& task =
            job->m_tasks[ref.m_repeat][ref.m_step][ref.m_index];
        if (task.m_active->m_phase != run_phase::assigned)
        {
            refs.push_back(ref);
            loss.m_runs.push_back({ref.m_job, task.m_active->m_first_sent_at,
                                   task.m_active->m_assigned_at,
                                   task.m_active->m_started_at.has_value(),
                                   task.m_lost_addresses.contains(
                                       worker.m_description.m_address)});
        }
    }
    return loss;
}

bool dispatcher::is_lost_with_others(const worker_entry& worker,
                                     const worker_loss& loss) const
{
    int lost = 1;
    int with_new_run = loss.follows_a_start() ? 1 : 0;
    if (!loss.m_silent_since)
    {
        if (loss.m_process_ended)
        {
            return false;
        }
        for (const auto& [id, other] : m_workers)
        {
            const bool never_answered =
                !other.m_synced && !other.m_process_ended &&
                (!other.m_tasks.empty() || other.m_loss_attributed);
            lost += never_answered && id != worker.id() ? 1 : 0;
        }
        return has_common_cause(lost, with_new_run);
    }
    const span period = common_loss_period(loss.m_process_ended);
    for (const silent_worker& other : m_silent_workers)
    {
        const span apart = other.m_silent_since - *loss.m_silent_since;
        if (other.m_id != worker.id() &&
            other.m_process_ended == loss.m_process_ended && apart <= period &&
            apart >= span(0) - period)
        {
            ++lost;
            with_new_run += other.m_follows_a_start ? 1 : 0;
        }
    }
    return has_common_cause(lost, with_new_run);
}

bool dispatcher::is_unreliable(const worker_entry& worker, instant now) const
{
    const auto lost = m_unexplained_losses.find(worker.m_description.m_address);
    return lost != m_unexplained_losses.end() &&
           now - lost->second <= unreliable_period;
}

void dispatcher::note_unexplained_loss(const worker_entry& worker,
                                       const worker_loss& loss, instant now)
{
    std::erase_if(m_unexplained_losses, [now](const auto& each)
                  { return now - each.second > unreliable_period; });
    if (loss.m_silent_since && loss.m_process_ended && !loss.m_with_others &&
        !loss.follows_a_start())
    {
        m_unexplained_losses[worker.m_description.m_address] = now;
        m_log("worker_unreliable", worker.id(),
              {{"address", worker.m_description.m_address},
               {"for_ms", number(unreliable_period.count())}});
    }
}

bool dispatcher::attribute_crash(const worker_entry& worker,
                                 const attributed_loss& loss,
                                 const decision_fields& evidence)
{
    job_entry& job = *m_jobs.find_task(loss.m_task);
    task_entry& task = job.task(loss.m_task);
    task_progress& progress = task.m_progress;
    if (progress.m_lost_run == progress.m_last_run ||
        (loss.m_suspicion == crash_suspicion::none && !loss.m_counts_as_ended))
    {
        return false;
    }
    progress.m_crashes.add(loss.m_suspicion);
    task.m_suspicion += loss.m_share;
    progress.m_workers_ended += loss.m_counts_as_ended ? 1 : 0;
    progress.m_lost_run = progress.m_last_run;
    if (loss.m_suspicion != crash_suspicion::none)
    {
        task.m_lost_addresses.insert(worker.m_description.m_address);
        ++task.m_losses_by_rack[worker.m_description.m_rack];
    }
    m_jobs.mark_changed(job);
    decision_fields fields{
        {"worker", worker.id()},
        {"suspicion", std::string(to_string(loss.m_suspicion))},
        {"share_percent", percent(loss.m_share)}};
    append(fields, evidence);
    append(fields, crash_fields(progress));
    m_log("crash_attributed", loss.m_task.str(), std::move(fields));
    return true;
}

void dispatcher::attribute_loss(worker_entry& worker, instant now)
{
    if (worker.m_loss_attributed)
    {
        return;
    }
    worker.m_loss_attributed = true;
    std::vector<task_ref> refs;
    worker_loss loss = loss_of(worker, now, refs);
    loss.m_with_others = is_lost_with_others(worker, loss);
    if (!refs.empty())
    {
        m_log("worker_lost", worker.id(), loss_fields(loss, worker, now));
    }
    // A worker that this leader has never seen listed may have drained and left
    // under the leader before.
    const bool may_have_left =
        worker.has_announced_drain() ||
        (!worker.has_answered() &&
         (!worker.was_listed() ||
          worker.m_entry.m_incarnation != worker.m_incarnation));
    if (may_have_left || worker.m_cut_off)
    {
        return;
    }
    note_unexplained_loss(worker, loss, now);
    const bool ended = loss.m_process_ended && !loss.m_with_others;
    const std::vector<double> shares = loss.suspicion_shares();
    for (std::size_t at = 0; at < refs.size(); ++at)
    {
        const attributed_loss counted{refs[at], loss.suspicion_of(at),
                                      shares[at],
                                      ended && loss.counts_as_ended(at)};
        const task_entry& lost = m_jobs.find_task(refs[at])->task(refs[at]);
        const decision_fields evidence =
            run_fields(loss, at, lost.m_active->m_number);
        if (attribute_crash(worker, counted, evidence))
        {
            worker.m_attributed.push_back(counted);
        }
        else if (is_worth_a_line(loss.m_runs[at], loss, lost.m_progress))
        {
            decision_fields fields{{"worker", worker.id()}};
            append(fields, evidence);
            m_log("crash_not_attributed", refs[at].str(), std::move(fields));
        }
    }
}

void dispatcher::attribute_noted_losses(instant now)
{
    // Attributing may change the list.
    const std::vector<silent_worker> silent = m_silent_workers;
    for (const silent_worker& each : silent)
    {
        const auto worker = m_workers.find(each.m_id);
        if (each.m_process_ended && worker != m_workers.end() &&
            worker->second.m_silent_since == each.m_silent_since &&
            now - each.m_silent_since > common_loss_period(true))
        {
            attribute_loss(worker->second, now);
        }
    }
}

void dispatcher::lose_worker_runs(worker_entry& worker,
                                  const run_end_evidence& evidence, instant now)
{
    attribute_loss(worker, now);
    release_worker_runs(worker, evidence, now);
    forget_unrecorded_runs(worker.id(), evidence, now);
}

std::optional<instant> dispatcher::left_at(const worker_entry& worker,
                                           const call_result& result,
                                           std::optional<instant> sent)
{
    const bool confirmed =
        result.m_failure == call_failure::connection_refused &&
        worker.m_left_at && sent && *sent > *worker.m_left_at &&
        worker.is_called_where_it_answered();
    return confirmed ? worker.m_left_at : std::nullopt;
}

void dispatcher::give_up(job_entry& job, const task_ref& ref, instant now)
{
    const task_progress& progress = job.task(ref).m_progress;
    decision_fields cause{{"task", ref.str()},
                          {"reason", "crashes its workers"},
                          {"runs", number(progress.m_last_run)}};
    append(cause, crash_fields(progress));
    m_log("task_given_up", ref.str(), cause);
    fail_job(job, cause, now);
}

void dispatcher::attribute_losses_of_earlier_term()
{
    const bool with_others =
        has_common_cause(static_cast<int>(m_runs_lost_before_term.size()), 0);
    for (const auto& [id, refs] : m_runs_lost_before_term)
    {
        m_log("worker_lost", id,
              {{"tasks", number(static_cast<std::int64_t>(refs.size()))},
               {"with_others", with_others ? "true" : "false"},
               {"silent_ms", "before this term"}});
        for (const task_ref& ref : refs)
        {
            attribute_earlier_loss(find_or_add_worker(id), ref,
                                   1.0 / static_cast<double>(refs.size()),
                                   with_others);
        }
    }
    m_runs_lost_before_term.clear();
}

void dispatcher::attribute_earlier_loss(worker_entry& worker,
                                        const task_ref& ref, double share,
                                        bool with_others)
{
    if (m_jobs.find_task(ref) == nullptr)
    {
        return;
    }
    // Only the worker list shows the loss of a run that is not released, so the
    // worker's next answer may withdraw it.
    const std::int64_t recorded =
        m_jobs.find_task(ref)->task(ref).m_progress.m_worker_incarnation;
    const bool unconfirmed =
        worker.m_tasks.contains(ref) && recorded >= worker.m_incarnation;
    worker.m_loss_attributed = worker.m_loss_attributed || unconfirmed;
    const attributed_loss loss{ref, crash_suspicion::possible, share, true};
    if (!with_others &&
        attribute_crash(worker, loss, {{"lost", "before this term"}}) &&
        unconfirmed)
    {
        worker.m_attributed.push_back(loss);
    }
}

void dispatcher::note_restart_before_term(const worker_entry& worker,
                                          const worker_report& report)
{
    if (worker.m_loss_attributed || worker.m_description.m_draining ||
        worker.m_tasks.empty())
    {
        return;
    }
    m_log("worker_lost", worker.id(),
          {{"tasks", number(static_cast<std::int64_t>(worker.m_tasks.size()))},
           {"silent_ms", "before this term"}});
    for (const task_ref& ref : worker.m_tasks)
    {
        const int run = m_jobs.find_task(ref)->task(ref).m_active->m_number;
        if (report.find(ref.str(), run) == nullptr)
        {
            m_restarts_before_term[worker.id()].push_back({ref, run});
        }
    }
}

bool dispatcher::awaits_first_answers(instant now) const
{
    const auto awaited =
        std::count_if(m_workers.begin(), m_workers.end(),
                      [this](const auto& each)
                      {
                          const worker_entry& worker = each.second;
                          return worker.m_listed && worker.m_reachable &&
                                 !worker.has_answered() &&
                                 !worker.m_tasks.empty() &&
                                 !m_restarts_before_term.contains(each.first);
                      });
    return now - m_term_start < first_answers_time &&
           has_common_cause(static_cast<int>(awaited), 0);
}

void dispatcher::attribute_restarts_before_term(instant now)
{
    if (m_restarts_before_term.empty() || awaits_first_answers(now))
    {
        return;
    }
    const bool with_others =
        has_common_cause(static_cast<int>(m_restarts_before_term.size()), 0);
    for (auto& [id, runs] : m_restarts_before_term)
    {
        const worker_entry& worker = find_or_add_worker(id);
        const double share = 1.0 / static_cast<double>(runs.size());
        for (const run_ref& run : std::exchange(runs, {}))
        {
            attribute_restart_before_term(worker, run, share, with_others);
        }
    }
}

void dispatcher::attribute_restart_before_term(const worker_entry& worker,
                                               const run_ref& run, double share,
                                               bool with_others)
{
    job_entry* job = m_jobs.find_task(run.m_task);
    const attributed_loss loss{run.m_task, crash_suspicion::possible, share,
                               true};
    const decision_fields evidence{
        {"lost", "before this term"},
        {"with_others", with_others ? "true" : "false"}};
    if (job == nullptr)
    {
        return;
    }
    if (!with_others && attribute_crash(worker, loss, evidence))
    {
        // The task may have started again since.
        job->task(run.m_task).m_progress.m_lost_run = run.m_run;
        return;
    }
    decision_fields fields{{"worker", worker.id()}};
    append(fields, evidence);
    m_log("crash_not_attributed", run.m_task.str(), std::move(fields));
}

void dispatcher::clear_crashes_of_lasting_run(job_entry& job,
                                              const task_ref& ref, instant now)
{
    task_entry& task = job.task(ref);
    if ((task.m_progress.m_crashes.any() ||
         task.m_progress.m_workers_ended > 0) &&
        now - *task.m_active->m_started_at >= lasting_run)
    {
        decision_fields fields{
            {"run", number(task.m_active->m_number)},
            {"worker", task.m_active->m_worker},
            {"lasted_ms",
             number((now - *task.m_active->m_started_at).count())}};
        append(fields, crash_fields(task.m_progress));
        task.m_progress.m_crashes = crash_evidence();
        task.m_suspicion = 0;
        task.m_progress.m_workers_ended = 0;
        m_jobs.mark_changed(job);
        m_log("crashes_cleared", ref.str(), std::move(fields));
    }
}

} // namespace kingcuprudder::dispatch
