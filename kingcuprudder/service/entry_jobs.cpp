#include <kingcuprudder/request/unknown_name_error.hpp>
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/service/entry_jobs.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace kingcuprudder
{

namespace
{

/// A wait is split into steps of this length, so that a shutdown can end it
/// between two steps.
constexpr span max_wait_step = span::seconds(10);

entry_response respond_to(const result<caller_reply>& reply)
{
    return succeeded(reply) ? respond(value_of(reply))
                            : respond(error_of(reply));
}

} // namespace

entry_jobs::entry_jobs(entry_owner_calls& owner,
                       std::uint32_t max_waiting_callers)
    : m_owner(owner), m_max_waiting_callers(max_waiting_callers)
{
}

entry_response entry_jobs::call(const entry_owner_calls::call_content& content,
                                span timeout)
{
    const result<caller_reply> reply =
        m_owner.call_until(content, system_now() + timeout);
    return respond_to(reply);
}

entry_response entry_jobs::submit(std::string_view body,
                                  const effective_settings& settings,
                                  span timeout)
{
    const result<job_submission> parsed = parse_job(body);
    if (!succeeded(parsed))
    {
        return respond(error_of(parsed));
    }
    const job_submission& submission = value_of(parsed);
    if (!settings.m_accounts.contains(submission.m_key.m_account))
    {
        return respond(unknown_name_error(error_code::unknown_account,
                                          "account", submission.m_key.m_account,
                                          settings.m_accounts));
    }
    auto job_class = settings.m_job_classes.find(submission.m_class);
    if (job_class == settings.m_job_classes.end())
    {
        return respond(unknown_name_error(error_code::unknown_job_class,
                                          "job class", submission.m_class,
                                          settings.m_job_classes));
    }
    return submit(submission, fill_in(submission, job_class->second), timeout);
}

entry_response entry_jobs::submit(const job_submission& submission,
                                  const job_spec& spec, span timeout)
{
    const instant deadline = system_now() + timeout;
    const result<caller_reply> reply =
        m_owner.call_until(submit_job{spec}, deadline);
    if (succeeded(reply))
    {
        return respond(value_of(reply));
    }
    if (error_of(reply).m_code == error_code::id_conflict)
    {
        // If the defaults of the job class have changed since the job was
        // accepted, repeating the submission yields another specification.
        query_job query;
        query.m_job = spec.m_key;
        const result<caller_reply> existing =
            m_owner.call_until(query, deadline);
        const auto* status = succeeded(existing)
                                 ? std::get_if<job_status>(&value_of(existing))
                                 : nullptr;
        if (status != nullptr && describes(submission, status->m_spec))
        {
            return respond(value_of(existing));
        }
    }
    return respond(error_of(reply));
}

entry_response entry_jobs::query(const job_key& job, span wait, span timeout)
{
    if (wait > span(0))
    {
        return wait_for_end(job, std::min(wait, max_wait), timeout);
    }
    query_job query;
    query.m_job = job;
    return call(query, timeout);
}

entry_response entry_jobs::wait_for_end(const job_key& job, span wait,
                                        span timeout)
{
    if (++m_waiting > m_max_waiting_callers)
    {
        --m_waiting;
        return respond(error{error_code::limit_reached,
                             "too many callers are waiting on this instance",
                             verdict::not_run});
    }
    const result<caller_reply> reply =
        wait_in_steps(job, system_now() + wait, timeout);
    --m_waiting;
    return respond_to(reply);
}

result<caller_reply> entry_jobs::wait_in_steps(const job_key& job, instant end,
                                               span timeout)
{
    while (true)
    {
        query_job query;
        query.m_job = job;
        query.m_until_end = true;
        query.m_deadline = std::min(end, system_now() + max_wait_step);
        result<caller_reply> reply =
            m_owner.call_until(query, query.m_deadline + timeout);
        const auto* status = succeeded(reply)
                                 ? std::get_if<job_status>(&value_of(reply))
                                 : nullptr;
        const bool keeps_waiting =
            status != nullptr && status->m_phase != job_phase::ended;
        if (!keeps_waiting || m_draining || system_now() >= end)
        {
            return reply;
        }
    }
}

entry_response entry_jobs::list(const account_id& account, span timeout)
{
    return call(list_jobs{account}, timeout);
}

entry_response entry_jobs::cancel(const job_key& job, span timeout)
{
    return call(cancel_job{job}, timeout);
}

entry_response entry_jobs::explain(const job_key& job, span timeout)
{
    return call(explain_job{job}, timeout);
}

} // namespace kingcuprudder
