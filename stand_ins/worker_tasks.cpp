#include <nlohmann/json.hpp>
#include <stand_ins/worker_tasks.hpp>

#include <algorithm>
#include <bit>

namespace kingcuprudder::stand_ins
{

namespace
{

// Prepared accelerators are released after this time unless they are started.
constexpr span hold_time = span::seconds(10);
// The time to write a checkpoint at a stop, limited by the grace period.
constexpr span checkpoint_time(50);
constexpr span default_run_time(100);
constexpr span failing_run_time(50);
constexpr instant never(INT64_MAX);

std::uint64_t mask_of(std::uint32_t accelerators)
{
    return accelerators >= 64 ? ~std::uint64_t{0}
                              : (std::uint64_t{1} << accelerators) - 1;
}

} // namespace

worker_tasks::worker_tasks(std::uint32_t accelerators)
    : m_accelerators(accelerators)
{
}

worker_tasks::outcome worker_tasks::prepare(const worker_prepare& command,
                                            instant now)
{
    advance(now);
    const auto existing = m_parts.find(command.m_attempt);
    if (existing != m_parts.end() &&
        existing->second.m_state == task_state::prepared)
    {
        return worker_done{};
    }
    if (existing != m_parts.end() || m_closed.contains(command.m_attempt))
    {
        return worker_refused{"the attempt was prepared before"};
    }
    if ((command.m_accelerators & ~mask_of(m_accelerators)) != 0)
    {
        return worker_refused{"no such accelerator"};
    }
    for (const auto& [attempt, each] : m_parts)
    {
        if (holds(each) && (each.m_accelerators & command.m_accelerators) != 0)
        {
            return worker_refused{"an accelerator is in use"};
        }
    }
    part added;
    added.m_accelerators = command.m_accelerators;
    added.m_prepared_at = now;
    added.m_progress = command.m_saved_run_time;
    added.m_saved = command.m_saved_run_time;
    added.m_run_time = default_run_time;
    const auto payload = nlohmann::json::parse(command.m_payload, nullptr,
                                               /*allow_exceptions=*/false);
    if (payload.is_object())
    {
        added.m_run_time =
            span(payload.value("run_ms", default_run_time.count()));
        added.m_fails = payload.value("fail", false);
        added.m_answer = payload.value("answer", std::string());
    }
    // The answer to this command reports the hold to the owner.
    added.m_acknowledged = true;
    m_parts[command.m_attempt] = std::move(added);
    return worker_done{};
}

worker_tasks::outcome worker_tasks::start(const attempt_key& attempt,
                                          instant now)
{
    advance(now);
    const auto found = m_parts.find(attempt);
    if (found == m_parts.end())
    {
        return worker_refused{"the attempt is not prepared"};
    }
    part& each = found->second;
    if (each.m_state == task_state::stopped)
    {
        return worker_refused{"the attempt has been stopped"};
    }
    if (each.m_state != task_state::prepared)
    {
        return worker_done{};
    }
    each.m_state = task_state::running;
    each.m_progress_at = now;
    if (m_fail_every_task)
    {
        each.m_fails = true;
        each.m_run_time =
            std::min(each.m_run_time, each.m_progress + failing_run_time);
    }
    m_history.push_back(
        {attempt, each.m_accelerators, true, task_state::running, now});
    return worker_done{};
}

worker_tasks::outcome worker_tasks::stop(const worker_stop& command,
                                         instant now)
{
    advance(now);
    const auto found = m_parts.find(command.m_attempt);
    if (found == m_parts.end())
    {
        m_closed.insert(command.m_attempt);
        return worker_done{};
    }
    part& each = found->second;
    switch (each.m_state)
    {
    case task_state::prepared:
        end(command.m_attempt, each, task_state::stopped, now);
        break;
    case task_state::running:
        if (each.m_stop_at == instant())
        {
            each.m_stop_at = now + std::min(command.m_grace, checkpoint_time);
        }
        break;
    default:
        m_parts.erase(found);
        m_closed.insert(command.m_attempt);
        break;
    }
    return worker_done{};
}

worker_tasks::outcome worker_tasks::checkpoint(const attempt_key& attempt,
                                               instant now)
{
    advance(now);
    part* each = find_running(attempt);
    if (each == nullptr)
    {
        return worker_refused{"the attempt does not run"};
    }
    each->m_saved = progress(*each, now);
    each->m_acknowledged = false;
    return worker_done{};
}

worker_tasks::outcome worker_tasks::throttle(const attempt_key& attempt,
                                             std::uint32_t percent, instant now)
{
    advance(now);
    part* each = find_running(attempt);
    if (each == nullptr || percent == 0 || percent > 100)
    {
        return worker_refused{"the attempt does not run or bad percentage"};
    }
    each->m_progress = progress(*each, now);
    each->m_progress_at = now;
    each->m_speed_percent = percent;
    return worker_done{};
}

void worker_tasks::advance(instant now)
{
    for (auto& [attempt, each] : m_parts)
    {
        advance(attempt, each, now);
    }
}

void worker_tasks::advance(const attempt_key& attempt, part& each, instant now)
{
    if (!holds(each))
    {
        return;
    }
    const bool running = each.m_state == task_state::running;
    // If several ends are due, the earliest one counts: a worker that was
    // frozen beyond its lease did not run its tasks in the meantime.
    const instant finish = running ? end_of(each) : never;
    const instant hold_end = running ? never : each.m_prepared_at + hold_time;
    const instant stop_at =
        each.m_stop_at == instant() ? never : each.m_stop_at;
    const instant stopped = std::min({hold_end, stop_at, m_lease_end});
    if (finish <= now && finish <= stopped)
    {
        end(attempt, each,
            each.m_fails ? task_state::failed : task_state::succeeded, now);
    }
    else if (stopped <= now)
    {
        end(attempt, each, task_state::stopped, now);
    }
}

instant worker_tasks::next_due() const
{
    instant next = never;
    for (const auto& [attempt, each] : m_parts)
    {
        if (!holds(each))
        {
            continue;
        }
        const bool running = each.m_state == task_state::running;
        next =
            std::min({next, m_lease_end,
                      running ? end_of(each) : each.m_prepared_at + hold_time});
        if (each.m_stop_at != instant())
        {
            next = std::min(next, each.m_stop_at);
        }
    }
    return next;
}

std::vector<task_report> worker_tasks::all() const
{
    std::vector<task_report> reports;
    for (const auto& [attempt, each] : m_parts)
    {
        reports.push_back(report(attempt, each));
    }
    return reports;
}

std::vector<task_report> worker_tasks::changed() const
{
    std::vector<task_report> reports;
    for (const auto& [attempt, each] : m_parts)
    {
        if (!each.m_acknowledged)
        {
            reports.push_back(report(attempt, each));
        }
    }
    return reports;
}

bool worker_tasks::has_unreported_end() const
{
    return std::any_of(m_parts.begin(), m_parts.end(),
                       [](const auto& each) {
                           return !holds(each.second) &&
                                  !each.second.m_acknowledged;
                       });
}

void worker_tasks::acknowledge(const std::vector<task_report>& reports)
{
    for (const task_report& each : reports)
    {
        const auto found = m_parts.find(each.m_attempt);
        if (found != m_parts.end() && found->second.m_state == each.m_state)
        {
            found->second.m_acknowledged = true;
        }
    }
}

std::int64_t worker_tasks::used_until(instant end) const
{
    std::int64_t used = 0;
    for (const task_event& each : m_history)
    {
        const std::int64_t past =
            std::max<std::int64_t>(0, (end - each.m_at).count());
        const std::int64_t amount = past * std::popcount(each.m_accelerators);
        used += each.m_is_start ? amount : -amount;
    }
    return used;
}

bool worker_tasks::holds(const part& each)
{
    return each.m_state == task_state::prepared ||
           each.m_state == task_state::running;
}

span worker_tasks::progress(const part& each, instant now)
{
    const span added = (now - each.m_progress_at) * each.m_speed_percent / 100;
    return std::min(each.m_progress + added, each.m_run_time);
}

instant worker_tasks::end_of(const part& each)
{
    const span left = each.m_run_time - each.m_progress;
    return each.m_progress_at + left * 100 / each.m_speed_percent;
}

worker_tasks::part* worker_tasks::find_running(const attempt_key& attempt)
{
    const auto found = m_parts.find(attempt);
    const bool running =
        found != m_parts.end() && found->second.m_state == task_state::running;
    return running ? &found->second : nullptr;
}

void worker_tasks::end(const attempt_key& attempt, part& each, task_state state,
                       instant now)
{
    if (each.m_state == task_state::running)
    {
        if (state == task_state::stopped)
        {
            each.m_saved = progress(each, now);
        }
        m_history.push_back({attempt, each.m_accelerators, false, state, now});
    }
    each.m_state = state;
    each.m_acknowledged = false;
}

task_report worker_tasks::report(const attempt_key& attempt, const part& each)
{
    task_report made;
    made.m_attempt = attempt;
    made.m_state = each.m_state;
    made.m_accelerators = each.m_accelerators;
    made.m_saved_run_time = each.m_saved;
    if (each.m_state == task_state::succeeded)
    {
        made.m_answer = each.m_answer;
    }
    return made;
}

} // namespace kingcuprudder::stand_ins
