#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/gang_table.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// Added to the grace period of a stop to cover its transport and the worker's
/// own delay.
constexpr span stop_margin(200);

} // namespace

gang_table::gang_table(scheduler_context& context, worker_table& workers,
                       part_hook on_part_ended)
    : m_context(context), m_workers(workers),
      m_on_part_ended(std::move(on_part_ended))
{
}

void gang_table::add(const job_entry& entry, bool inherited, instant now)
{
    gang& each = m_gangs[entry.m_spec.m_key];
    each.m_job = entry.m_spec.m_key;
    each.m_attempt = entry.m_attempt;
    each.m_phase_since = now;
    each.m_inherited = inherited;
    for (const allocation& part : entry.m_placement)
    {
        m_workers.track(part.m_worker, now);
        m_on_worker[part.m_worker].insert(each.m_job);
        each.m_parts.push_back({});
        each.m_parts.back().m_allocation = part;
        each.m_parts.back().m_saved_run_time = entry.saved_run_time();
    }
    advance(each, now);
}

void gang_table::on_phase(const job_key& job, instant now)
{
    gang& each = m_gangs.at(job);
    each.m_ticket = 0;
    each.m_phase_since = now;
    for (gang_part& part : each.m_parts)
    {
        part.m_next_command = now;
        part.m_backoff.reset();
    }
    advance(each, now);
}

void gang_table::remove(const job_key& job)
{
    auto found = m_gangs.find(job);
    KCR_ASSERT(found != m_gangs.end());
    gang& each = found->second;
    for (const gang_part& part : each.m_parts)
    {
        const worker_id& worker = part.m_allocation.m_worker;
        m_calls.erase(part.m_call);
        auto on_worker = m_on_worker.find(worker);
        on_worker->second.erase(job);
        if (on_worker->second.empty())
        {
            m_on_worker.erase(on_worker);
        }
        // The worker keeps the result, or the accelerators held for a gang that
        // was never started, until it gets a stop command.
        if (part.m_state != part_state::gone && m_workers.claimed(worker))
        {
            m_workers.stop_stale_task(worker, {job, each.m_attempt}, false);
        }
    }
    m_due.erase({each.m_due, job});
    m_gangs.erase(found);
}

void gang_table::request_stop(const job_key& job, stop_reason reason,
                              instant now)
{
    gang& each = m_gangs.at(job);
    if (!each.m_stop)
    {
        each.m_stop = reason;
        advance(each, now);
    }
}

region_log::withdrawal gang_table::withdraw_stop(const job_key& job,
                                                 instant now)
{
    auto found = m_gangs.find(job);
    if (found == m_gangs.end() || !found->second.m_stop)
    {
        return region_log::withdrawal::settled;
    }
    gang& each = found->second;
    if (!each.m_stop_appended)
    {
        each.m_stop.reset();
        return region_log::withdrawal::withdrawn;
    }
    const region_log::withdrawal outcome =
        m_context.m_log.withdraw(each.m_ticket);
    if (outcome == region_log::withdrawal::withdrawn)
    {
        each.m_ticket = 0;
        each.m_stop_appended = false;
        each.m_stop.reset();
        advance(each, now);
    }
    return outcome;
}

bool gang_table::stopping(const job_key& job) const
{
    auto found = m_gangs.find(job);
    return found != m_gangs.end() && found->second.m_stop.has_value();
}

void gang_table::on_answer(const worker_answer& answer, instant now)
{
    auto found = m_calls.find(answer.m_call);
    const sent_command sent = found->second;
    m_calls.erase(found);
    gang* each = find(sent.m_job, sent.m_attempt);
    KCR_ASSERT(each != nullptr);
    gang_part& part = each->m_parts[sent.m_part];
    part.m_call = 0;
    switch (sent.m_kind)
    {
    case command::prepare:
        on_prepare_answer(*each, part, answer, now);
        break;
    case command::start:
        on_start_answer(*each, part, answer, now);
        break;
    case command::stop:
        on_stop_answer(*each, part, answer, now);
        break;
    }
    advance(*each, now);
}

void gang_table::on_report(const worker_report& report, bool full, instant now)
{
    for (const task_report& task : report.m_tasks)
    {
        gang* each = find(task.m_attempt.m_job, task.m_attempt.m_attempt);
        gang_part* part =
            each == nullptr ? nullptr : find_part(*each, report.m_worker);
        if (part == nullptr)
        {
            const bool holds = task.m_state == task_state::prepared ||
                               task.m_state == task_state::running;
            m_workers.stop_stale_task(report.m_worker, task.m_attempt, holds);
            continue;
        }
        apply_report(*each, *part, task);
        advance(*each, now);
    }
    if (full)
    {
        mark_missing(report, now);
    }
}

void gang_table::on_worker_lost(const worker_id& worker, instant now)
{
    auto found = m_on_worker.find(worker);
    if (found == m_on_worker.end())
    {
        return;
    }
    const std::set<job_key> jobs = found->second;
    for (const job_key& job : jobs)
    {
        gang& each = m_gangs.at(job);
        gang_part* part = find_part(each, worker);
        if (!is_over(*part, now))
        {
            part->m_state = part_state::gone;
            advance(each, now);
        }
    }
}

void gang_table::on_tick(instant now)
{
    while (!m_due.empty() && m_due.begin()->first <= now)
    {
        const job_key job = m_due.begin()->second;
        m_due.erase(m_due.begin());
        gang& each = m_gangs.at(job);
        each.m_due = instant();
        advance(each, now);
    }
}

void gang_table::apply_report(gang& each, gang_part& part,
                              const task_report& report)
{
    part.m_saved_run_time =
        std::max(part.m_saved_run_time, report.m_saved_run_time);
    if (part.m_state == part_state::succeeded ||
        part.m_state == part_state::failed)
    {
        return;
    }
    switch (report.m_state)
    {
    case task_state::prepared:
        if (part.m_state == part_state::unknown)
        {
            part.m_state = part_state::prepared;
        }
        break;
    case task_state::running:
        if (part.m_state != part_state::gone)
        {
            part.m_state = part_state::running;
        }
        break;
    case task_state::succeeded:
        part.m_state = part_state::succeeded;
        part.m_answer = report.m_answer;
        break;
    case task_state::failed:
        part.m_state = part_state::failed;
        each.m_failed_workers.push_back(part.m_allocation.m_worker);
        m_on_part_ended(part.m_allocation.m_worker, each.m_job, false);
        break;
    case task_state::stopped:
        part.m_state = part_state::gone;
        break;
    }
}

void gang_table::on_prepare_answer(gang& each, gang_part& part,
                                   const worker_answer& answer, instant now)
{
    if (std::holds_alternative<worker_done>(answer.m_outcome))
    {
        if (part.m_state == part_state::unknown)
        {
            part.m_state = part_state::prepared;
        }
        return;
    }
    each.m_prepare_failed = true;
    m_workers.on_unreachable(answer.m_worker, now);
}

void gang_table::on_start_answer(gang& /*each*/, gang_part& part,
                                 const worker_answer& answer, instant now)
{
    if (std::holds_alternative<worker_done>(answer.m_outcome))
    {
        if (part.m_state == part_state::unknown ||
            part.m_state == part_state::prepared)
        {
            part.m_state = part_state::running;
        }
        return;
    }
    if (std::holds_alternative<worker_refused>(answer.m_outcome))
    {
        part.m_start_sent = part.m_start_unanswered;
        if (part.m_state == part_state::unknown ||
            part.m_state == part_state::prepared)
        {
            part.m_state = part_state::gone;
        }
        return;
    }
    part.m_start_unanswered = true;
    m_workers.on_unreachable(answer.m_worker, now);
    part.m_next_command = now + part.m_backoff.next(m_context.m_random);
}

void gang_table::on_stop_answer(gang& /*each*/, gang_part& part,
                                const worker_answer& answer, instant now)
{
    if (std::holds_alternative<worker_done>(answer.m_outcome))
    {
        const span grace = m_context.m_settings.m_scheduler.m_reclaim_bound;
        part.m_stop_complete_at = now + grace + stop_margin;
        return;
    }
    if (std::holds_alternative<worker_refused>(answer.m_outcome))
    {
        // The worker does not have the attempt. Its next full report confirms
        // that.
        m_workers.claim_again(answer.m_worker, now);
    }
    else
    {
        m_workers.on_unreachable(answer.m_worker, now);
    }
    part.m_next_command = now + part.m_backoff.next(m_context.m_random);
}

void gang_table::mark_missing(const worker_report& report, instant now)
{
    auto found = m_on_worker.find(report.m_worker);
    if (found == m_on_worker.end())
    {
        return;
    }
    std::set<attempt_key> reported;
    for (const task_report& task : report.m_tasks)
    {
        reported.insert(task.m_attempt);
    }
    const instant claim_sent_at = m_workers.claim_sent_at(report.m_worker);
    const std::set<job_key> jobs = found->second;
    for (const job_key& job : jobs)
    {
        gang& each = m_gangs.at(job);
        gang_part* part = find_part(each, report.m_worker);
        // A command that was sent after the claim may have reached the worker
        // after it created its report.
        const bool newer =
            part->m_call != 0 || (part->m_last_command != instant() &&
                                  part->m_last_command >= claim_sent_at);
        const job_phase phase = m_context.m_state.find_job(job)->m_phase;
        const bool not_prepared_yet =
            phase == job_phase::placed && part->m_state == part_state::unknown;
        if (!reported.contains({job, each.m_attempt}) && !newer &&
            !not_prepared_yet && !is_over(*part, now))
        {
            part->m_state = part_state::gone;
        }
        advance(each, now);
    }
}

void gang_table::schedule(gang& each, instant at)
{
    if (each.m_due != instant() && each.m_due <= at)
    {
        return;
    }
    m_due.erase({each.m_due, each.m_job});
    each.m_due = at;
    m_due.emplace(at, each.m_job);
}

gang* gang_table::find(const job_key& job, std::uint32_t attempt)
{
    auto found = m_gangs.find(job);
    return found != m_gangs.end() && found->second.m_attempt == attempt
               ? &found->second
               : nullptr;
}

gang_part* gang_table::find_part(gang& each, const worker_id& worker)
{
    auto found = std::find_if(each.m_parts.begin(), each.m_parts.end(),
                              [&](const gang_part& part)
                              { return part.m_allocation.m_worker == worker; });
    return found == each.m_parts.end() ? nullptr : &*found;
}

} // namespace kingcuprudder
