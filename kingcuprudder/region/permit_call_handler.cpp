#include <kingcuprudder/region/permit_call_handler.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

void permit_call_handler::on_request(call_number call,
                                     const request_permit& request, instant now)
{
    const permit_entry* entry =
        m_context.m_state.find_permit(request.m_request);
    if (entry != nullptr)
    {
        answer_open(call, request, *entry, now);
        return;
    }
    auto pending = m_pending.find(request.m_request);
    if (pending != m_pending.end())
    {
        const request_permitted& record = pending->second.second;
        if (record.m_content_hash != request.m_content_hash)
        {
            refuse(call, error_code::id_conflict,
                   "another request with different content has this id",
                   verdict::not_run);
            return;
        }
        if (record.m_holder != request.m_holder)
        {
            wait(call, request.m_request, request.m_deadline, false);
            return;
        }
        wait(call, request.m_request, now + record_wait_limit, true);
        return;
    }
    if (request.m_deadline <= now)
    {
        refuse(call, error_code::deadline_exceeded,
               "the deadline passed before a permit was granted",
               verdict::not_run);
        return;
    }
    if (m_context.m_log.stalled(now))
    {
        refuse(call, error_code::store_unavailable, "the store does not answer",
               verdict::not_run);
        return;
    }
    const request_permitted record{request.m_request, request.m_content_hash,
                                   request.m_holder, request.m_deadline, now};
    const record_ticket ticket = m_context.m_log.append(record);
    m_pending.emplace(request.m_request, std::pair(ticket, record));
    wait(call, request.m_request, now + record_wait_limit, true);
}

void permit_call_handler::on_end(call_number call, const end_request& request,
                                 instant now)
{
    const permit_entry* entry =
        m_context.m_state.find_permit(request.m_request);
    if (entry == nullptr || entry->m_permit.m_holder != request.m_holder)
    {
        refuse(call, error_code::id_conflict,
               "the caller does not hold this permit", verdict::not_run);
        return;
    }
    if (entry->m_end)
    {
        m_context.m_effects.answer(call, caller_reply(ok()));
        return;
    }
    if (!m_pending_ends.contains(request.m_request))
    {
        m_pending_ends.emplace(
            request.m_request,
            m_context.m_log.append(request_ended{
                request.m_request, request.m_verdict, request.m_answer, now}));
    }
    m_ending.add({call, request.m_request, now + record_wait_limit, true});
}

void permit_call_handler::on_committed(const request_permitted& record,
                                       instant now)
{
    m_pending.erase(record.m_request);
    const bool late = now >= record.m_deadline;
    if (late)
    {
        m_pending_ends.emplace(
            record.m_request,
            m_context.m_log.append(
                request_ended{record.m_request, verdict::not_run, {}, now}));
    }
    for (const call_table::waiting_call& each :
         m_requesting.take_for_record(record.m_request))
    {
        if (late)
        {
            refuse(each.m_call, error_code::deadline_exceeded,
                   "the deadline passed before the permit was recorded",
                   verdict::not_run);
            continue;
        }
        m_context.m_effects.answer(each.m_call, caller_reply(permit_granted()));
    }
}

void permit_call_handler::on_committed(const request_ended& record)
{
    m_pending_ends.erase(record.m_request);
    for (const call_table::waiting_call& each :
         m_requesting.take(record.m_request))
    {
        m_context.m_effects.answer(
            each.m_call,
            caller_reply(permit_ended{record.m_verdict, record.m_answer}));
    }
    for (const call_table::waiting_call& each : m_ending.take(record.m_request))
    {
        m_context.m_effects.answer(each.m_call, caller_reply(ok()));
    }
}

void permit_call_handler::on_tick(instant now)
{
    expire_permits(now);
    for (const call_table::waiting_call& each : m_requesting.take_expired(now))
    {
        expire_call(each);
    }
    for (const call_table::waiting_call& each : m_ending.take_expired(now))
    {
        refuse(each.m_call, error_code::store_unavailable,
               "the outcome is not recorded yet", verdict::may_have_run);
    }
}

void permit_call_handler::step_down(const std::string& owner)
{
    // A holder without a permit does not dispatch, so nothing ran for it.
    for (const call_table::waiting_call& each : m_requesting.take_all())
    {
        const verdict ran =
            each.m_for_record ? verdict::not_run : verdict::may_have_run;
        refuse(each.m_call, error_code::not_owner, owner, ran);
    }
    for (const call_table::waiting_call& each : m_ending.take_all())
    {
        refuse(each.m_call, error_code::not_owner, owner,
               verdict::may_have_run);
    }
}

void permit_call_handler::wait(call_number call, const request_key& key,
                               instant expires, bool for_record)
{
    m_requesting.add({call, key, expires, for_record});
}

void permit_call_handler::answer_open(call_number call,
                                      const request_permit& request,
                                      const permit_entry& entry, instant now)
{
    if (entry.m_permit.m_content_hash != request.m_content_hash)
    {
        refuse(call, error_code::id_conflict,
               "another request with different content has this id",
               verdict::not_run);
    }
    else if (entry.m_end)
    {
        m_context.m_effects.answer(
            call, caller_reply(permit_ended{entry.m_end->m_verdict,
                                            entry.m_end->m_answer}));
    }
    else if (entry.m_permit.m_holder == request.m_holder &&
             now < entry.m_permit.m_deadline &&
             !m_pending_ends.contains(request.m_request))
    {
        m_context.m_effects.answer(call, caller_reply(permit_granted()));
    }
    else
    {
        wait(call, request.m_request,
             std::max(request.m_deadline, now + span(1)), false);
    }
}

void permit_call_handler::expire_call(const call_table::waiting_call& call)
{
    if (!call.m_for_record)
    {
        refuse(call.m_call, error_code::deadline_exceeded,
               "another call holds the permit and has no outcome yet",
               verdict::may_have_run);
        return;
    }
    // Even if the record commits, this call gets no permit, so its holder does
    // not dispatch the request.
    refuse(call.m_call, error_code::store_unavailable,
           "the store does not answer", verdict::not_run);
    auto pending = m_pending.find(call.m_key);
    if (pending == m_pending.end() ||
        m_context.m_log.withdraw(pending->second.first) !=
            region_log::withdrawal::withdrawn)
    {
        return;
    }
    m_pending.erase(pending);
    for (const call_table::waiting_call& other : m_requesting.take(call.m_key))
    {
        refuse(other.m_call, error_code::store_unavailable,
               "the store does not answer", verdict::not_run);
    }
}

void permit_call_handler::expire_permits(instant now)
{
    for (const auto& [deadline, key] : m_context.m_state.open_permits())
    {
        if (deadline + permit_grace > now)
        {
            break;
        }
        if (!m_pending_ends.contains(key))
        {
            m_pending_ends.emplace(
                key, m_context.m_log.append(
                         request_ended{key, verdict::may_have_run, {}, now}));
        }
    }
}

void permit_call_handler::refuse(call_number call, error_code code,
                                 std::string message, verdict ran)
{
    m_context.m_effects.answer(call, error{code, std::move(message), ran});
}

} // namespace kingcuprudder
