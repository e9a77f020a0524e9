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

/// The bound after a takeover is longer, as the new owner first claims the
/// workers, which takes one more round trip.
constexpr span inherited_prepare_bound = span::seconds(5);

/// All workers must have confirmed the start within this time; a worker
/// releases the held accelerators after the same time without a start.
constexpr span start_bound = span::seconds(10);

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

/// Returns a gang's saved run time: the minimum over its parts, but at least
/// `earlier`.
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
        // Nothing was started, so the job can end without a stop phase.
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
    if (gone || each.m_prepare_failed || now >= each.m_phase_since + bound)
    {
        release(each, entry, stop_reason::prepare_failed, verdict::not_run,
                now);
        return;
    }
    for (std::size_t index = 0; index < each.m_parts.size(); ++index)
    {
        if (each.m_parts[index].m_state == part_state::unknown)
        {
            send_command(each, index, command::prepare, now);
        }
    }
    schedule(each, each.m_phase_since + bound);
}

void gang_table::advance_running(gang& each, instant now)
{
    if (all_parts(each, has_succeeded))
    {
        end_succeeded(each, now);
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
    const bool late = !confirmed && !each.m_inherited &&
                      now >= each.m_phase_since + start_bound;
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
            send_command(each, index, command::start, now);
        }
    }
    if (!confirmed && !each.m_inherited)
    {
        schedule(each, each.m_phase_since + start_bound);
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
        if (part.m_stop_complete_at != instant())
        {
            schedule(each, part.m_stop_complete_at);
            continue;
        }
        send_command(each, index, command::stop, now);
    }
}

void gang_table::conclude(gang& each, const job_entry& entry, instant now)
{
    if (all_parts(each, has_succeeded))
    {
        end_succeeded(each, now);
        return;
    }
    // A former owner may have sent start commands. Only for an attempt that
    // this owner placed does the absence of sent starts prove that nothing ran.
    const bool never_started =
        !each.m_inherited && all_parts(each, [](const gang_part& part)
                                       { return !part.m_start_sent; });
    const verdict attempt_verdict =
        std::max(entry.earlier_verdict(),
                 never_started ? verdict::not_run : verdict::may_have_run);
    const stop_reason reason = entry.m_stop_reason;
    if (reason == stop_reason::cancelled ||
        reason == stop_reason::deadline_passed)
    {
        end(each, outcome_for(reason), attempt_verdict, now);
        return;
    }
    const bool failed = reason == stop_reason::task_failed;
    const std::size_t failures = entry.m_failures.size() + (failed ? 1 : 0);
    const bool exhausted =
        failures >= m_context.m_settings.m_scheduler.m_max_attempts;
    const bool repeatable = entry.m_spec.m_idempotent || never_started;
    if (repeatable && !(failed && exhausted))
    {
        release(each, entry, reason, attempt_verdict, now);
        return;
    }
    end(each, job_outcome::failed, failed ? verdict::ran : attempt_verdict,
        now);
}

void gang_table::end_succeeded(gang& each, instant now)
{
    for (const gang_part& part : each.m_parts)
    {
        m_on_part_ended(part.m_allocation.m_worker, each.m_job, true);
    }
    end(each, job_outcome::succeeded, verdict::ran, now);
}

void gang_table::release(gang& each, const job_entry& entry, stop_reason reason,
                         verdict attempt_verdict, instant now)
{
    each.m_ticket = m_context.m_log.append(job_released{
        each.m_job, each.m_attempt, reason, attempt_verdict,
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

void gang_table::send_command(gang& each, std::size_t index, command kind,
                              instant now)
{
    gang_part& part = each.m_parts[index];
    const worker_id& worker = part.m_allocation.m_worker;
    if (part.m_call != 0 || !m_workers.claimed(worker))
    {
        // The answer or the report to the claim triggers the next step.
        return;
    }
    if (part.m_next_command > now)
    {
        schedule(each, part.m_next_command);
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

} // namespace kingcuprudder
