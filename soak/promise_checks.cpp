#include <kingcuprudder/dispatch/task_ref.hpp>

#include <soak/promise_checks.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace kingcuprudder::soak
{

namespace
{

using dispatch::job_state;
using dispatch::job_step;
using dispatch::run_outcome;
using dispatch::task_ref;

/// The distinct runs of a task, or of a gang, that ended as failed.
using failed_runs = std::map<std::string, std::set<int>>;

std::vector<status_call> all_calls(const job_history& history)
{
    std::vector<status_call> all = history.m_calls;
    all.insert(all.end(), history.m_final_calls.begin(),
               history.m_final_calls.end());
    return all;
}

bool shows(const status_call& call, job_state state)
{
    return call.m_result == status_result::state && call.m_state == state;
}

bool shows_final_state(const status_call& call)
{
    return call.m_result == status_result::state &&
           dispatch::is_final(call.m_state);
}

bool is_cancelled_before(const job_history& history, instant end)
{
    return history.m_cancel_sent_at && *history.m_cancel_sent_at <= end;
}

/// Returns the step of a task of the job, or null if there is none.
const job_step* find_step(const job_history& history, const task_ref& task)
{
    const std::vector<job_step>& steps = history.m_job.m_steps;
    return task.m_step >= 0 && task.m_step < static_cast<int>(steps.size())
               ? &steps[static_cast<std::size_t>(task.m_step)]
               : nullptr;
}

/// Returns the name of what ends and fails as one: a task, or a whole gang.
std::string unit_of(const task_ref& task, const job_step& step)
{
    return step.m_gang ? task.step_str() : task.str();
}

/// Returns how many tasks and gangs have to be done; a persistent one never is.
std::size_t unit_count(const job_history& history)
{
    std::size_t count = 0;
    for (const job_step& step : history.m_job.m_steps)
    {
        count += step.m_gang ? 1 : static_cast<std::size_t>(step.m_count);
    }
    return count * static_cast<std::size_t>(history.m_job.m_repeats);
}

/// The ended runs of a job in the order of time.
std::vector<ended_run> runs_by_time(const job_history& history)
{
    std::vector<ended_run> runs = history.m_ended_runs;
    std::stable_sort(runs.begin(), runs.end(),
                     [](const ended_run& left, const ended_run& right)
                     { return left.m_at < right.m_at; });
    return runs;
}

/// When the job had a cause to be reported in a final state.
struct final_times
{
    /// When the last task was done.
    std::optional<instant> m_completed_at;
    /// When a task or a gang had failed in its maximum number of attempts.
    std::optional<instant> m_failed_at;

    bool is_completed_at(instant time) const
    {
        return m_completed_at && *m_completed_at <= time;
    }
    bool is_failed_at(instant time) const
    {
        return m_failed_at && *m_failed_at <= time;
    }
};

final_times final_times_of(const job_history& history)
{
    final_times times;
    std::set<std::string> done;
    failed_runs failed;
    const std::size_t units = unit_count(history);
    const std::size_t max_attempts =
        static_cast<std::size_t>(history.m_job.m_policy.m_max_attempts);
    for (const ended_run& run : runs_by_time(history))
    {
        const std::optional<task_ref> task = task_ref::parse(run.m_task);
        const job_step* step = task ? find_step(history, *task) : nullptr;
        if (step == nullptr || step->m_persistent)
        {
            continue;
        }
        const std::string unit = unit_of(*task, *step);
        if (run.m_outcome == run_outcome::done && done.insert(unit).second &&
            done.size() == units)
        {
            times.m_completed_at = run.m_at;
        }
        if (run.m_outcome == run_outcome::failed &&
            failed[unit].insert(run.m_run).second &&
            failed[unit].size() >= max_attempts && !times.m_failed_at)
        {
            times.m_failed_at = run.m_at;
        }
    }
    return times;
}

/// Returns whether the job's state need not be known any more.
bool is_forgotten(const final_times& times, instant time,
                  const promise_bounds& bounds)
{
    const instant latest_end = time - bounds.m_status_kept;
    return times.is_completed_at(latest_end) || times.is_failed_at(latest_end);
}

std::string describe(const status_call& call)
{
    return "by process " + std::to_string(call.m_process) + " in a call of " +
           std::to_string((call.m_ended_at - call.m_sent_at).count()) + " ms";
}

std::string after(instant begin, instant end, const std::string& event)
{
    return std::to_string((end - begin).count()) + " ms after " + event;
}

/// Returns the message for the first of the calls that meets the condition.
template <typename Condition, typename Message>
std::vector<std::string> first_violation(const std::vector<status_call>& calls,
                                         const Condition& is_violation,
                                         const Message& message)
{
    const auto found = std::find_if(calls.begin(), calls.end(), is_violation);
    if (found == calls.end())
    {
        return {};
    }
    return {message(*found)};
}

void append(std::vector<std::string>& all,
            const std::vector<std::string>& messages)
{
    all.insert(all.end(), messages.begin(), messages.end());
}

/// Whether the job was accepted over the bound before and must be counted as
/// pending.
bool is_pending(const job_history& history, const pending_answer& answer,
                const promise_bounds& bounds)
{
    const bool is_scheduled =
        history.m_job.m_first_due != instant() || history.m_job.m_repeats > 1;
    const bool has_begun =
        history.m_begun_at && *history.m_begun_at <= answer.m_ended_at;
    return history.m_job.m_queue == answer.m_queue && !is_scheduled &&
           !has_begun && !is_cancelled_before(history, answer.m_ended_at) &&
           history.m_accepted_at &&
           answer.m_sent_at - *history.m_accepted_at >
               bounds.m_visible + bounds.m_pending_age;
}

} // namespace

std::vector<std::string> unknown_job_violations(const job_history& history,
                                                const promise_bounds& bounds)
{
    if (!history.m_accepted_at)
    {
        return {};
    }
    const final_times times = final_times_of(history);
    const auto is_violation = [&](const status_call& call)
    {
        return call.m_result == status_result::unknown_job && call.m_in_touch &&
               call.m_ended_at - *history.m_accepted_at > bounds.m_visible &&
               !is_cancelled_before(history, call.m_ended_at) &&
               !is_forgotten(times, call.m_ended_at, bounds);
    };
    return first_violation(history.m_calls, is_violation,
                           [&](const status_call& call)
                           {
                               return "LOST: accepted job " +
                                      history.m_job.m_id +
                                      " is unknown (410), " +
                                      after(*history.m_accepted_at,
                                            call.m_ended_at,
                                            "its acknowledgement, ") +
                                      describe(call);
                           });
}

std::vector<std::string> false_end_violations(const job_history& history)
{
    if (!history.m_accepted_at)
    {
        return {};
    }
    const final_times times = final_times_of(history);
    const std::vector<status_call> calls = all_calls(history);
    std::vector<std::string> found = first_violation(
        calls,
        [&](const status_call& call)
        {
            return shows(call, job_state::failed) &&
                   !times.is_failed_at(call.m_ended_at);
        },
        [&](const status_call& call)
        {
            return "LOST: job " + history.m_job.m_id +
                   " is reported as failed, and no task has failed in " +
                   std::to_string(history.m_job.m_policy.m_max_attempts) +
                   " runs, " + describe(call);
        });
    append(found, first_violation(
                      calls,
                      [&](const status_call& call)
                      {
                          return shows(call, job_state::cancelled) &&
                                 !is_cancelled_before(history, call.m_ended_at);
                      },
                      [&](const status_call& call)
                      {
                          return "LOST: job " + history.m_job.m_id +
                                 " is reported as cancelled, and nobody has "
                                 "cancelled it, " +
                                 describe(call);
                      }));
    return found;
}

std::vector<std::string> false_state_violations(const job_history& history)
{
    const std::vector<status_call> calls = all_calls(history);
    const std::string job = "MIXED: job " + history.m_job.m_id;
    if (!history.m_submitted)
    {
        return first_violation(
            calls,
            [](const status_call& call)
            { return call.m_result == status_result::state; },
            [&](const status_call& call) {
                return job + " is reported, and nobody submitted it, " +
                       describe(call);
            });
    }
    const final_times times = final_times_of(history);
    std::vector<std::string> found = first_violation(
        calls,
        [&](const status_call& call)
        {
            return shows(call, job_state::completed) &&
                   !times.is_completed_at(call.m_ended_at);
        },
        [&](const status_call& call)
        {
            return job +
                   " is reported as completed before all of its tasks were "
                   "done, " +
                   describe(call);
        });
    append(found, first_violation(
                      calls,
                      [](const status_call& call)
                      { return call.m_result == status_result::unreadable; },
                      [&](const status_call& call) {
                          return job + " has no valid state, " + describe(call);
                      }));
    return found;
}

std::vector<std::string> state_change_violations(const job_history& history)
{
    const std::vector<status_call> calls = all_calls(history);
    const status_call* final_call = nullptr;
    for (const status_call& call : calls)
    {
        if (shows_final_state(call) &&
            (final_call == nullptr || call.m_ended_at < final_call->m_ended_at))
        {
            final_call = &call;
        }
    }
    if (final_call == nullptr)
    {
        return {};
    }
    return first_violation(
        calls,
        [&](const status_call& call)
        {
            return call.m_result == status_result::state &&
                   call.m_state != final_call->m_state &&
                   call.m_sent_at > final_call->m_ended_at;
        },
        [&](const status_call& call)
        {
            return "MIXED: job " + history.m_job.m_id + " is reported as " +
                   std::string(to_string(call.m_state)) + ", " +
                   after(final_call->m_ended_at, call.m_ended_at,
                         "a report as " +
                             std::string(to_string(final_call->m_state))) +
                   ", " + describe(call);
        });
}

std::vector<std::string> final_state_violations(const job_history& history,
                                                const promise_bounds& bounds)
{
    if (!history.m_accepted_at)
    {
        return {};
    }
    const final_times times = final_times_of(history);
    bool is_unknown = false;
    for (const status_call& call : history.m_final_calls)
    {
        const bool in_time =
            call.m_ended_at - call.m_sent_at <= bounds.m_caller_time;
        const bool has_answer = call.m_result == status_result::state ||
                                call.m_result == status_result::unreadable;
        const bool may_be_unknown =
            is_cancelled_before(history, call.m_ended_at) ||
            is_forgotten(times, call.m_ended_at, bounds);
        const bool unknown = call.m_result == status_result::unknown_job;
        if (in_time && (has_answer || (unknown && may_be_unknown)))
        {
            return {};
        }
        is_unknown = is_unknown || (in_time && unknown);
    }
    const std::string job = "LOST: accepted job " + history.m_job.m_id;
    if (is_unknown)
    {
        return {job + " is unknown (410) at the end"};
    }
    return {job + " has no answer in time at the end, " +
            std::to_string(history.m_final_calls.size()) + " attempts"};
}

std::vector<std::string> promise_violations(const job_history& history,
                                            const promise_bounds& bounds)
{
    std::vector<std::string> found = unknown_job_violations(history, bounds);
    append(found, false_end_violations(history));
    append(found, false_state_violations(history));
    append(found, state_change_violations(history));
    append(found, final_state_violations(history, bounds));
    return found;
}

std::vector<std::string>
pending_violations(const pending_answer& answer,
                   const std::vector<job_history>& jobs,
                   const promise_bounds& bounds)
{
    if (!answer.m_in_touch)
    {
        return {};
    }
    const auto pending =
        std::count_if(jobs.begin(), jobs.end(),
                      [&](const job_history& history)
                      { return is_pending(history, answer, bounds); });
    if (std::int64_t{answer.m_pending} * 2 >= pending)
    {
        return {};
    }
    return {"MIXED: process " + std::to_string(answer.m_process) + " reports " +
            std::to_string(answer.m_pending) + " pending jobs of queue " +
            answer.m_queue + ", and " + std::to_string(pending) +
            " have not begun"};
}

} // namespace kingcuprudder::soak
