#include <soak/planned_work_checks.hpp>

#include <algorithm>

namespace kingcuprudder::soak
{

namespace
{

bool concerns(const planned_work& work, int process)
{
    return work.m_kind == planned_work_kind::configuration ||
           work.m_process == process;
}

/// Returns when the work is over, or nothing if it is not.
std::optional<instant> end_of(const planned_work& work,
                              const promise_bounds& bounds)
{
    switch (work.m_kind)
    {
    case planned_work_kind::termination:
        return work.m_at + bounds.m_grace + bounds.m_after_grace;
    case planned_work_kind::reload:
        return work.m_at + bounds.m_configuration_applied;
    case planned_work_kind::configuration:
        break;
    }
    if (!work.m_acknowledged_at)
    {
        return std::nullopt;
    }
    return *work.m_acknowledged_at + bounds.m_configuration_applied +
           bounds.m_after_configuration;
}

bool is_beside(const observed_request& request, const planned_work& work,
               const promise_bounds& bounds)
{
    const std::optional<instant> end = end_of(work, bounds);
    return concerns(work, request.m_process) &&
           request.m_ended_at >= work.m_at &&
           (!end || request.m_sent_at < *end);
}

/// Returns the latest of the works beside which the request was sent, or null.
const planned_work* find_work(const observed_request& request,
                              const std::vector<planned_work>& works,
                              const promise_bounds& bounds)
{
    const planned_work* latest = nullptr;
    for (const planned_work& work : works)
    {
        if (is_beside(request, work, bounds) &&
            (latest == nullptr || latest->m_at < work.m_at))
        {
            latest = &work;
        }
    }
    return latest;
}

bool is_disrupted(const observed_request& request,
                  const std::vector<disruption>& disruptions,
                  const promise_bounds& bounds)
{
    return std::any_of(disruptions.begin(), disruptions.end(),
                       [&](const disruption& each)
                       {
                           return each.m_begin <= request.m_ended_at &&
                                  each.m_end >=
                                      request.m_sent_at - bounds.m_contact;
                       });
}

std::string name_of(planned_work_kind kind)
{
    switch (kind)
    {
    case planned_work_kind::termination:
        return "SIGTERM";
    case planned_work_kind::reload:
        return "SIGHUP";
    case planned_work_kind::configuration:
        break;
    }
    return "a configuration";
}

std::string message(const observed_request& request, const planned_work& work)
{
    return "LOST: " + request.m_call + " to process " +
           std::to_string(request.m_process) + " got no response (" +
           request.m_error + ") " +
           std::to_string((request.m_ended_at - work.m_at).count()) +
           " ms after " + name_of(work.m_kind) + ", " +
           std::to_string((request.m_ended_at - request.m_sent_at).count()) +
           " ms after it was sent";
}

} // namespace

std::vector<std::string>
planned_work_violations(const std::vector<observed_request>& requests,
                        const std::vector<planned_work>& works,
                        const std::vector<disruption>& disruptions,
                        const promise_bounds& bounds)
{
    std::vector<std::string> found;
    for (const observed_request& request : requests)
    {
        if (request.m_result != request_result::no_response ||
            is_disrupted(request, disruptions, bounds))
        {
            continue;
        }
        if (const planned_work* work = find_work(request, works, bounds))
        {
            found.push_back(message(request, *work));
        }
    }
    return found;
}

} // namespace kingcuprudder::soak
