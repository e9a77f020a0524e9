#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/gang_table.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// All workers of a gang must have prepared within this time.
constexpr span prepare_bound = span::seconds(2);

/// A takeover first claims the workers, which takes one more round trip.
constexpr span inherited_prepare_bound = span::seconds(5);

/// All workers must have confirmed the start within this time; a worker drops
/// its hold after the same time without a start.
constexpr span start_bound = span::seconds(10);

/// Added to the grace period of a stop for its transport and the worker's own
/// delay.
constexpr span stop_margin(200);

template <class Predicate>
bool all_parts(const gang& each, Predicate holds)
{
    return std::all_of(each.m_parts.begin(), each.m_parts.end(), holds);
}

template <class Predicate>
bool any_part(const gang& each, Predicate holds)
{
    return std::any_of(each.m_parts.begin(), each.m_parts.end(), holds);
}

bool has_succeeded(const gang_part& part)
{
    return part.m_state == part_state::succeeded;
}

std::string joined_answer(const gang& each)
{
    std::string answer;
    for (const gang_part& part : each.m_parts)
    {
        if (&part != &each.m_parts.front())
        {
            answer += '\n';
        }
        answer += part.m_answer;
    }
    return answer;
}

/// A gang's progress is what its least advanced part has saved.
span saved_by(const gang& each, span earlier)
{
    span saved = each.m_parts.front().m_saved_run_time;
    for (const gang_part& part : each.m_parts)
    {
        saved = std::min(saved, part.m_saved_run_time);
    }
    return std::max(saved, earlier);
}

job_outcome outcome_for(stop_reason reason)
{
    switch (reason)
    {
    case stop_reason::cancelled:
        return job_outcome::cancelled;
    case stop_reason::deadline_passed:
        return job_outcome::deadline_passed;
    default:
        return job_outcome::failed;
    }
}

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
    each.m_since = now;
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
    each.m_since = now;
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
        // The worker keeps the result, or the hold of a gang that was never
        // started, until it is told to drop it.
        if (part.m_state != part_state::gone && m_workers.claimed(worker))
        {
            m_workers.stop_unknown(worker, {job, each.m_attempt}, false);
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
            m_workers.stop_unknown(report.m_worker, task.m_attempt, holds);
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

void gang_table::advance(gang& each, instant now)
{
    if (each.m_ticket != 0)
    {
        return;
    }
    const job_entry* entry = m_context.m_state.find_job(each.m_job);
    KCR_ASSERT(entry != nullptr);
    switch (entry->m_phase)
    {
    case job_phase::placed:
        advance_placed(each, *entry, now);
        break;
    case job_phase::running:
        advance_running(each, now);
        break;
    case job_phase::stopping:
        advance_stopping(each, *entry, now);
        break;
    default:
        KCR_ASSERT(false);
    }
}

void gang_table::advance_placed(gang& each, const job_entry& entry, instant now)
{
    if (each.m_stop)
    {
        // Nothing was started, so that the job can end without a stop phase.
        each.m_stop_appended = true;
        end(each, outcome_for(*each.m_stop), entry.earlier_verdict(), now);
        return;
    }
    const span bound =
        each.m_inherited ? inherited_prepare_bound : prepare_bound;
    const bool gone = any_part(each, [](const gang_part& part)
                               { return part.m_state == part_state::gone; });
    const bool ready =
        all_parts(each, [](const gang_part& part)
                  { return part.m_state == part_state::prepared; });
    if (ready)
    {
        each.m_ticket = m_context.m_log.append(
            job_started{each.m_job, each.m_attempt, now});
        return;
    }
    if (gone || each.m_prepare_failed || now >= each.m_since + bound)
    {
        release(each, entry, stop_reason::prepare_failed, verdict::not_run,
                now);
        return;
    }
    for (std::size_t index = 0; index < each.m_parts.size(); ++index)
    {
        if (each.m_parts[index].m_state == part_state::unknown)
        {
            drive(each, index, command::prepare, now);
        }
    }
    wake(each, each.m_since + bound);
}

void gang_table::advance_running(gang& each, instant now)
{
    if (all_parts(each, has_succeeded))
    {
        end_well(each, now);
        return;
    }
    const bool failed =
        any_part(each, [](const gang_part& part)
                 { return part.m_state == part_state::failed; });
    const bool gone = any_part(each, [](const gang_part& part)
                               { return part.m_state == part_state::gone; });
    const bool confirmed =
        all_parts(each,
                  [](const gang_part& part)
                  {
                      return part.m_state == part_state::running ||
                             part.m_state == part_state::succeeded;
                  });
    const bool late =
        !confirmed && !each.m_inherited && now >= each.m_since + start_bound;
    if (!each.m_stop && (failed || gone || late))
    {
        each.m_stop =
            failed ? stop_reason::task_failed : stop_reason::gang_incomplete;
    }
    if (each.m_stop)
    {
        each.m_stop_appended = true;
        each.m_ticket = m_context.m_log.append(
            job_stopping{each.m_job, each.m_attempt, *each.m_stop, now});
        return;
    }
    for (std::size_t index = 0; index < each.m_parts.size(); ++index)
    {
        const part_state state = each.m_parts[index].m_state;
        if (state == part_state::unknown || state == part_state::prepared)
        {
            drive(each, index, command::start, now);
        }
    }
    if (!confirmed && !each.m_inherited)
    {
        wake(each, each.m_since + start_bound);
    }
}

void gang_table::advance_stopping(gang& each, const job_entry& entry,
                                  instant now)
{
    each.m_stop = entry.m_stop_reason;
    if (all_parts(each,
                  [now](const gang_part& part) { return is_over(part, now); }))
    {
        conclude(each, entry, now);
        return;
    }
    for (std::size_t index = 0; index < each.m_parts.size(); ++index)
    {
        const gang_part& part = each.m_parts[index];
        if (is_over(part, now))
        {
            continue;
        }
        if (part.m_stopped_by != instant())
        {
            wake(each, part.m_stopped_by);
            continue;
        }
        drive(each, index, command::stop, now);
    }
}

void gang_table::conclude(gang& each, const job_entry& entry, instant now)
{
    if (all_parts(each, has_succeeded))
    {
        end_well(each, now);
        return;
    }
    // Only an owner that would have sent every start itself knows that none of
    // them took effect.
    const bool never_started =
        !each.m_inherited && all_parts(each, [](const gang_part& part)
                                       { return !part.m_start_sent; });
    const verdict may_have =
        std::max(entry.earlier_verdict(),
                 never_started ? verdict::not_run : verdict::may_have_run);
    const stop_reason reason = entry.m_stop_reason;
    if (reason == stop_reason::cancelled ||
        reason == stop_reason::deadline_passed)
    {
        end(each, outcome_for(reason), may_have, now);
        return;
    }
    const bool failed = reason == stop_reason::task_failed;
    const std::size_t failures = entry.m_failures.size() + (failed ? 1 : 0);
    const bool exhausted =
        failures >= m_context.m_settings.m_scheduler.m_max_attempts;
    const bool repeatable = entry.m_spec.m_idempotent || never_started;
    if (repeatable && !(failed && exhausted))
    {
        release(each, entry, reason, may_have, now);
        return;
    }
    end(each, job_outcome::failed, failed ? verdict::ran : may_have, now);
}

void gang_table::end_well(gang& each, instant now)
{
    for (const gang_part& part : each.m_parts)
    {
        m_on_part_ended(part.m_allocation.m_worker, each.m_job, true);
    }
    end(each, job_outcome::succeeded, verdict::ran, now);
}

void gang_table::release(gang& each, const job_entry& entry, stop_reason reason,
                         verdict may_have, instant now)
{
    each.m_ticket = m_context.m_log.append(job_released{
        each.m_job, each.m_attempt, reason, may_have,
        saved_by(each, entry.saved_run_time()), now, each.m_failed_workers});
}

void gang_table::end(gang& each, job_outcome outcome, verdict ran, instant now)
{
    job_ended record{each.m_job, each.m_attempt, outcome, ran, {}, now};
    if (outcome == job_outcome::succeeded)
    {
        record.m_answer = joined_answer(each);
    }
    if (record.m_answer.size() > max_batch_bytes)
    {
        record.m_outcome = job_outcome::failed;
        record.m_answer = "the answer is larger than 512 KB";
    }
    each.m_ticket = m_context.m_log.append(std::move(record));
}

void gang_table::drive(gang& each, std::size_t index, command kind, instant now)
{
    gang_part& part = each.m_parts[index];
    const worker_id& worker = part.m_allocation.m_worker;
    if (part.m_call != 0 || !m_workers.claimed(worker))
    {
        // The answer, or the claim's report, leads back here.
        return;
    }
    if (part.m_next_command > now)
    {
        wake(each, part.m_next_command);
        return;
    }
    const attempt_key attempt{each.m_job, each.m_attempt};
    decltype(worker_call::m_command) message = worker_start{attempt};
    if (kind == command::prepare)
    {
        const job_entry* entry = m_context.m_state.find_job(each.m_job);
        message =
            worker_prepare{attempt, part.m_allocation.m_tasks,
                           part.m_allocation.m_accelerators,
                           entry->saved_run_time(), entry->m_spec.m_payload};
    }
    else if (kind == command::stop)
    {
        message = worker_stop{attempt,
                              m_context.m_settings.m_scheduler.m_reclaim_bound};
    }
    else
    {
        part.m_start_sent = true;
    }
    part.m_call = m_context.m_effects.command(worker, m_context.m_state.epoch(),
                                              std::move(message));
    part.m_last_command = now;
    m_calls.emplace(part.m_call,
                    sent_command{each.m_job, each.m_attempt, index, kind});
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
        part.m_stopped_by = now + grace + stop_margin;
        return;
    }
    if (std::holds_alternative<worker_refused>(answer.m_outcome))
    {
        // The worker does not know the attempt; its full report proves that.
        m_workers.reclaim(answer.m_worker, now);
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
    std::set<attempt_key> named;
    for (const task_report& task : report.m_tasks)
    {
        named.insert(task.m_attempt);
    }
    const instant asked_at = m_workers.claim_sent_at(report.m_worker);
    const std::set<job_key> jobs = found->second;
    for (const job_key& job : jobs)
    {
        gang& each = m_gangs.at(job);
        gang_part* part = find_part(each, report.m_worker);
        // A command that was sent after the claim can have reached the worker
        // after it made its report.
        const bool newer =
            part->m_call != 0 || (part->m_last_command != instant() &&
                                  part->m_last_command >= asked_at);
        const job_phase phase = m_context.m_state.find_job(job)->m_phase;
        const bool not_asked_yet =
            phase == job_phase::placed && part->m_state == part_state::unknown;
        if (!named.contains({job, each.m_attempt}) && !newer &&
            !not_asked_yet && !is_over(*part, now))
        {
            part->m_state = part_state::gone;
        }
        advance(each, now);
    }
}

void gang_table::wake(gang& each, instant at)
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
