#include <kingcuprudder/region/job_call_handler.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

job_call_handler::job_call_handler(scheduler_context& context,
                                   gang_table& gangs,
                                   const placement_policy& policy,
                                   const region_capacity& capacity)
    : m_context(context), m_gangs(gangs), m_policy(policy), m_capacity(capacity)
{
}

void job_call_handler::on_submit(call_number call, const submit_job& request,
                                 instant now)
{
    const job_spec& spec = request.m_spec;
    const job_entry* entry = m_context.m_state.find_job(spec.m_key);
    auto pending = m_submissions.find(spec.m_key);
    if (entry != nullptr || pending != m_submissions.end())
    {
        const job_spec& existing =
            entry != nullptr ? entry->m_spec : pending->second.m_spec;
        if (existing != spec)
        {
            refuse(call, error_code::id_conflict,
                   "another job with different content has this id",
                   verdict::not_run);
        }
        else if (entry != nullptr)
        {
            answer_status(call, *entry);
        }
        else
        {
            m_submitting.add({call, spec.m_key, now + record_wait_limit, true});
        }
        return;
    }
    if (const std::optional<error> refused = refusal(spec, now))
    {
        m_context.m_effects.answer(call, *refused);
        return;
    }
    const record_ticket ticket =
        m_context.m_log.append(job_accepted{spec, now});
    m_submissions.emplace(spec.m_key, submission{spec, ticket});
    ++m_submitted_by[spec.m_key.m_account];
    m_submitting.add({call, spec.m_key, now + record_wait_limit, true});
}

void job_call_handler::on_query(call_number call, const query_job& request,
                                instant now)
{
    const job_entry* entry = m_context.m_state.find_job(request.m_job);
    if (entry == nullptr)
    {
        refuse(call, error_code::unknown_job, "no job with this id exists",
               verdict::not_run);
        return;
    }
    if (!request.m_until_end || entry->m_end || request.m_deadline <= now)
    {
        answer_status(call, *entry);
        return;
    }
    m_querying.add({call, request.m_job, request.m_deadline, false});
}

void job_call_handler::on_list(call_number call, const list_jobs& request)
{
    const region_state::job_map& jobs = m_context.m_state.jobs();
    std::vector<job_status> list;
    auto position = request.m_account.empty()
                        ? jobs.begin()
                        : jobs.lower_bound({request.m_account, job_id()});
    for (; position != jobs.end(); ++position)
    {
        if (!request.m_account.empty() &&
            position->first.m_account != request.m_account)
        {
            break;
        }
        // A list can hold many jobs, so payloads and answers are returned by
        // queries only.
        job_status status = status_of(position->second);
        status.m_spec.m_payload.clear();
        status.m_answer.clear();
        list.push_back(std::move(status));
    }
    m_context.m_effects.answer(call, caller_reply(std::move(list)));
}

void job_call_handler::on_cancel(call_number call, const cancel_job& request,
                                 instant now)
{
    const job_entry* entry = m_context.m_state.find_job(request.m_job);
    if (entry == nullptr)
    {
        refuse(call, error_code::unknown_job, "no job with this id exists",
               verdict::not_run);
        return;
    }
    if (entry->m_end)
    {
        answer_status(call, *entry);
        return;
    }
    if (m_context.m_log.stalled(now))
    {
        refuse(call, error_code::store_unavailable, "the store does not answer",
               verdict::not_run);
        return;
    }
    const bool recorded = entry->m_phase == job_phase::stopping;
    m_cancelling.add({call, request.m_job,
                      recorded ? instant() : now + record_wait_limit,
                      !recorded});
    cancel(*entry, now);
}

void job_call_handler::on_accepted(const job_key& job)
{
    remove_submission(job);
    const job_entry* entry = m_context.m_state.find_job(job);
    for (const call_table::waiting_call& each : m_submitting.take(job))
    {
        answer_status(each.m_call, *entry);
    }
}

void job_call_handler::on_placed(const job_key& job, instant now)
{
    m_pending.erase(job);
    auto found = m_stop_when_placed.find(job);
    if (found != m_stop_when_placed.end())
    {
        const stop_reason reason = found->second;
        m_stop_when_placed.erase(found);
        m_gangs.request_stop(job, reason, now);
    }
}

void job_call_handler::on_stopping(const job_key& job)
{
    m_cancelling.remove_time_limits(job);
}

void job_call_handler::on_queued_again(const job_key& job, instant now)
{
    // A cancellation may have arrived while the attempt was being released.
    const job_entry* entry = m_context.m_state.find_job(job);
    if (m_cancelling.waits_for(job))
    {
        cancel(*entry, now);
    }
}

void job_call_handler::on_ended(const job_key& job)
{
    m_pending.erase(job);
    m_stop_when_placed.erase(job);
    const job_entry* entry = m_context.m_state.find_job(job);
    for (call_table* each : {&m_querying, &m_cancelling})
    {
        for (const call_table::waiting_call& call : each->take(job))
        {
            answer_status(call.m_call, *entry);
        }
    }
}

void job_call_handler::place(const job_entry& entry, const placement& where,
                             instant now)
{
    const job_key& job = entry.m_spec.m_key;
    m_pending.emplace(job, m_context.m_log.append(job_placed{
                               job, entry.m_attempt + 1, where, now}));
}

void job_call_handler::on_tick(instant now)
{
    expire_deadlines(now);
    for (const call_table::waiting_call& each : m_submitting.take_expired(now))
    {
        expire_submission(each);
    }
    for (const call_table::waiting_call& each : m_cancelling.take_expired(now))
    {
        expire_cancellation(each, now);
    }
    for (const call_table::waiting_call& each : m_querying.take_expired(now))
    {
        answer_status(each.m_call, *m_context.m_state.find_job(each.m_key));
    }
}

void job_call_handler::step_down(const std::string& owner)
{
    for (const call_table::waiting_call& each : m_submitting.take_all())
    {
        refuse(each.m_call, error_code::not_owner, owner,
               verdict::may_have_run);
    }
    for (call_table* calls : {&m_querying, &m_cancelling})
    {
        for (const call_table::waiting_call& each : calls->take_all())
        {
            refuse(each.m_call, error_code::not_owner, owner,
                   verdict::may_have_run);
        }
    }
}

std::optional<error> job_call_handler::refusal(const job_spec& spec,
                                               instant now) const
{
    const effective_settings& settings = m_context.m_settings;
    if (!settings.m_accounts.contains(spec.m_key.m_account))
    {
        return error{error_code::unknown_account,
                     "unknown account " + spec.m_key.m_account.str(),
                     verdict::not_run};
    }
    if (spec.m_payload.size() > max_payload_bytes)
    {
        return error{error_code::too_large, "the payload is larger than 800 KB",
                     verdict::not_run};
    }
    if (spec.m_deadline != instant() && spec.m_deadline <= now)
    {
        return error{error_code::deadline_exceeded,
                     "the deadline had passed at submission", verdict::not_run};
    }
    if (m_context.m_log.stalled(now))
    {
        return error{error_code::store_unavailable, "the store does not answer",
                     verdict::not_run};
    }
    if (std::optional<error> reached = limit_refusal(spec))
    {
        return reached;
    }
    if (m_capacity.view().size() == 0)
    {
        // The instance list has not been read yet, so whether the shape fits
        // cannot be decided.
        return std::nullopt;
    }
    const auto never = m_policy.never_fits(m_capacity.view(), spec);
    if (never)
    {
        return error{error_code::never_fits, *never, verdict::not_run};
    }
    return std::nullopt;
}

std::optional<error> job_call_handler::limit_refusal(const job_spec& spec) const
{
    const effective_settings& settings = m_context.m_settings;
    const account_id& account = spec.m_key.m_account;
    auto submitted = m_submitted_by.find(account);
    const std::size_t of_account =
        m_context.m_state.queued_of(account) +
        (submitted == m_submitted_by.end() ? 0 : submitted->second);
    if (of_account >= settings.m_accounts.at(account).m_max_queued_jobs)
    {
        return error{error_code::limit_reached,
                     "account " + account.str() +
                         " has reached its limit of queued jobs",
                     verdict::not_run};
    }
    const std::size_t total =
        m_context.m_state.queued().size() + m_submissions.size();
    if (total >= settings.m_scheduler.m_max_queued_jobs)
    {
        return error{error_code::limit_reached,
                     "the region has reached its limit of queued jobs",
                     verdict::not_run};
    }
    return std::nullopt;
}

void job_call_handler::cancel(const job_entry& entry, instant now)
{
    const job_key& job = entry.m_spec.m_key;
    if (m_gangs.contains(job))
    {
        m_gangs.request_stop(job, stop_reason::cancelled, now);
    }
    else if (m_pending.contains(job))
    {
        m_stop_when_placed.emplace(job, stop_reason::cancelled);
    }
    else
    {
        end_queued(entry, job_outcome::cancelled, now);
    }
}

void job_call_handler::end_queued(const job_entry& entry, job_outcome outcome,
                                  instant now)
{
    const job_key& job = entry.m_spec.m_key;
    m_pending.emplace(
        job,
        m_context.m_log.append(job_ended{
            job, entry.m_attempt, outcome, entry.earlier_verdict(), {}, now}));
}

void job_call_handler::remove_submission(const job_key& job)
{
    if (m_submissions.erase(job) == 0)
    {
        return;
    }
    auto count = m_submitted_by.find(job.m_account);
    if (--count->second == 0)
    {
        m_submitted_by.erase(count);
    }
}

void job_call_handler::expire_submission(const call_table::waiting_call& call)
{
    // The append in flight may take effect or already has. Only a job whose
    // record was never sent is certain not to run.
    auto found = m_submissions.find(call.m_key);
    const bool withdrawn = found == m_submissions.end() ||
                           m_context.m_log.withdraw(found->second.m_ticket) ==
                               region_log::withdrawal::withdrawn;
    if (!withdrawn)
    {
        refuse(call.m_call, error_code::store_unavailable,
               "the store does not answer; the job may have been accepted",
               verdict::may_have_run);
        return;
    }
    remove_submission(call.m_key);
    refuse(call.m_call, error_code::store_unavailable,
           "the store does not answer", verdict::not_run);
    for (const call_table::waiting_call& other : m_submitting.take(call.m_key))
    {
        refuse(other.m_call, error_code::store_unavailable,
               "the store does not answer", verdict::not_run);
    }
}

void job_call_handler::expire_cancellation(const call_table::waiting_call& call,
                                           instant now)
{
    const job_key& job = call.m_key;
    bool withdrawn = m_stop_when_placed.erase(job) > 0;
    if (!withdrawn && m_gangs.contains(job))
    {
        withdrawn = m_gangs.withdraw_stop(job, now) ==
                    region_log::withdrawal::withdrawn;
    }
    else if (!withdrawn)
    {
        auto pending = m_pending.find(job);
        withdrawn = pending != m_pending.end() &&
                    m_context.m_log.withdraw(pending->second) ==
                        region_log::withdrawal::withdrawn;
        if (withdrawn)
        {
            m_pending.erase(pending);
        }
    }
    refuse(call.m_call, error_code::store_unavailable,
           "the store does not answer",
           withdrawn ? verdict::not_run : verdict::may_have_run);
    if (!withdrawn)
    {
        return;
    }
    for (const call_table::waiting_call& other : m_cancelling.take(job))
    {
        refuse(other.m_call, error_code::store_unavailable,
               "the store does not answer", verdict::not_run);
    }
}

void job_call_handler::expire_deadlines(instant now)
{
    for (const auto& [deadline, job] : m_context.m_state.deadlines())
    {
        if (deadline > now)
        {
            break;
        }
        if (m_gangs.contains(job))
        {
            m_gangs.request_stop(job, stop_reason::deadline_passed, now);
        }
        else if (m_pending.contains(job))
        {
            m_stop_when_placed.emplace(job, stop_reason::deadline_passed);
        }
        else
        {
            end_queued(*m_context.m_state.find_job(job),
                       job_outcome::deadline_passed, now);
        }
    }
}

void job_call_handler::answer_status(call_number call, const job_entry& entry)
{
    m_context.m_effects.answer(call, caller_reply(status_of(entry)));
}

void job_call_handler::refuse(call_number call, error_code code,
                              std::string message, verdict ran)
{
    m_context.m_effects.answer(call, error{code, std::move(message), ran});
}

} // namespace kingcuprudder
