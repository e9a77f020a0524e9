#include <kingcuprudder/history/history_checker.hpp>
#include <kingcuprudder/history/history_index.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuprudder
{

namespace
{

using violations = std::vector<history_violation>;

std::string name(const part_run& run)
{
    return run.m_start.m_job + " attempt " +
           std::to_string(run.m_start.m_attempt) + " on " +
           run.m_start.m_worker.str();
}

std::string at(instant time)
{
    return " at " + std::to_string(time.count()) + " ms";
}

/// Calls the check for each pair of runs of a group that overlap in time.
template <class Group, class Check>
void for_each_overlap(std::vector<const part_run*> runs, Group same_group,
                      Check check)
{
    std::sort(runs.begin(), runs.end(),
              [](const part_run* left, const part_run* right)
              { return left->m_start.m_at < right->m_start.m_at; });
    for (std::size_t first = 0; first < runs.size(); ++first)
    {
        for (std::size_t second = first + 1;
             second < runs.size() &&
             runs[second]->m_start.m_at < runs[first]->m_end;
             ++second)
        {
            if (same_group(*runs[first], *runs[second]))
            {
                check(*runs[first], *runs[second]);
            }
        }
    }
}

std::vector<const part_run*> pointers(const std::vector<part_run>& runs)
{
    std::vector<const part_run*> all;
    all.reserve(runs.size());
    for (const part_run& run : runs)
    {
        all.push_back(&run);
    }
    return all;
}

void check_overlaps(const history_index& index, violations& found)
{
    for_each_overlap(
        pointers(index.m_runs),
        [](const part_run& left, const part_run& right)
        {
            return left.m_start.m_worker == right.m_start.m_worker &&
                   (left.m_start.m_accelerators &
                    right.m_start.m_accelerators) != 0;
        },
        [&](const part_run& left, const part_run& right)
        {
            found.push_back(
                {history_rule::accelerator_overlap,
                 name(left) + " and " + name(right) + at(right.m_start.m_at)});
        });
}

/// Reports an attempt that ran without some of its parts for longer than the
/// bound: before the last part started, or after the first one was lost.
void check_partial_gang(const history_index& index,
                        const history_index::attempt& attempt,
                        const std::vector<std::size_t>& runs, span bound,
                        violations& found)
{
    instant first_start = never;
    instant last_start;
    instant first_loss = never;
    instant last_end;
    for (std::size_t each : runs)
    {
        const part_run& run = index.m_runs[each];
        first_start = std::min(first_start, run.m_start.m_at);
        last_start = std::max(last_start, run.m_start.m_at);
        last_end = std::max(last_end, run.m_end);
        if (!run.m_completed)
        {
            first_loss = std::min(first_loss, run.m_end);
        }
    }
    const std::uint32_t parts = index.m_runs[runs.front()].m_start.m_gang_parts;
    if (runs.size() < parts)
    {
        last_start = never;
    }
    auto stop = index.m_stop_requests.find(attempt);
    const instant stopped_at = std::min(
        last_end, stop == index.m_stop_requests.end() ? never : stop->second);
    const instant complete_at = std::min(last_start, stopped_at);
    if (complete_at - first_start > bound ||
        (first_loss < stopped_at && stopped_at - first_loss > bound))
    {
        found.push_back(
            {history_rule::partial_gang,
             attempt.first + " attempt " + std::to_string(attempt.second) +
                 " ran without some of its parts" + at(first_start)});
    }
}

void check_partial_gangs(const history_index& index, span bound,
                         violations& found)
{
    for (const auto& [attempt, runs] : index.m_runs_by_attempt)
    {
        if (!runs.empty())
        {
            check_partial_gang(index, attempt, runs, bound, found);
        }
    }
}

void check_attempts_run_once(const history_index& index, violations& found)
{
    std::set<std::pair<history_index::attempt, worker_id>> started;
    std::map<std::string, std::uint32_t> attempt_of;
    for (const part_run& run : index.m_runs)
    {
        const part_started& start = run.m_start;
        const history_index::attempt attempt{start.m_job, start.m_attempt};
        if (!started.insert({attempt, start.m_worker}).second)
        {
            found.push_back({history_rule::repeated_run,
                             name(run) + " started again" + at(start.m_at)});
        }
        auto recorded = attempt_of.try_emplace(start.m_job, start.m_attempt);
        if (!start.m_idempotent && recorded.first->second != start.m_attempt)
        {
            found.push_back({history_rule::repeated_run,
                             name(run) +
                                 " is a second run of a job that is "
                                 "not idempotent" +
                                 at(start.m_at)});
        }
    }
}

/// Reports attempts with more runs than the gang has parts: they were started
/// twice, on different workers.
void check_attempt_sizes(const history_index& index, violations& found)
{
    for (const auto& [attempt, runs] : index.m_runs_by_attempt)
    {
        if (!runs.empty() &&
            runs.size() > index.m_runs[runs.front()].m_start.m_gang_parts)
        {
            found.push_back({history_rule::repeated_run,
                             attempt.first + " attempt " +
                                 std::to_string(attempt.second) +
                                 " has more runs than parts"});
        }
    }
}

void check_repeated_runs(const history_index& index, violations& found)
{
    check_attempts_run_once(index, found);
    check_attempt_sizes(index, found);
    for_each_overlap(
        pointers(index.m_runs),
        [](const part_run& left, const part_run& right)
        {
            return left.m_start.m_job == right.m_start.m_job &&
                   left.m_start.m_attempt != right.m_start.m_attempt;
        },
        [&](const part_run& left, const part_run& right)
        {
            found.push_back({history_rule::repeated_run,
                             name(left) + " ran together with " + name(right) +
                                 at(right.m_start.m_at)});
        });
    std::set<std::string> executed;
    for (const request_executed& each : index.m_requests)
    {
        if (!executed.insert(each.m_request).second && !each.m_idempotent)
        {
            found.push_back(
                {history_rule::repeated_run,
                 each.m_request + " was executed again" + at(each.m_at)});
        }
    }
}

void check_answers(const history_index& index, violations& found)
{
    for (const auto& [number, call] : index.m_calls)
    {
        if (call.m_answers.size() > 1)
        {
            found.push_back({history_rule::wrong_answer,
                             "call " + std::to_string(number) +
                                 " was answered more than once"});
        }
        for (const call_answered& answer : call.m_answers)
        {
            const bool right = call.m_invoked &&
                               call.m_invoked->m_caller == answer.m_caller &&
                               (answer.m_subject.empty() ||
                                answer.m_subject == call.m_invoked->m_subject);
            if (!right)
            {
                found.push_back({history_rule::wrong_answer,
                                 answer.m_caller + " received an answer for " +
                                     answer.m_subject + at(answer.m_at)});
            }
        }
    }
}

/// Returns the subjects that cannot have run, as each submission of them was
/// answered with verdict::not_run.
std::set<std::string> refused_subjects(const history_index& index)
{
    std::set<std::string> refused;
    std::set<std::string> possibly_run;
    for (const auto& [number, call] : index.m_calls)
    {
        if (!call.m_invoked || call.m_invoked->m_kind == call_kind::query ||
            call.m_invoked->m_kind == call_kind::cancel)
        {
            continue;
        }
        const bool not_run =
            !call.m_answers.empty() &&
            call.m_answers.front().m_refusal_verdict == verdict::not_run;
        (not_run ? refused : possibly_run).insert(call.m_invoked->m_subject);
    }
    for (const std::string& each : possibly_run)
    {
        refused.erase(each);
    }
    return refused;
}

void check_not_run(const history_index& index, violations& found)
{
    std::set<std::string> refused = refused_subjects(index);
    for (const job_end_reported& end : index.m_job_ends)
    {
        if (end.m_verdict == verdict::not_run)
        {
            refused.insert(end.m_job);
        }
    }
    for (const part_run& run : index.m_runs)
    {
        if (refused.contains(run.m_start.m_job))
        {
            found.push_back({history_rule::ran_despite_not_run,
                             name(run) + at(run.m_start.m_at)});
        }
    }
    for (const request_executed& each : index.m_requests)
    {
        if (refused.contains(each.m_request))
        {
            found.push_back({history_rule::ran_despite_not_run,
                             each.m_request + at(each.m_at)});
        }
    }
}

void check_lost_jobs(const history_index& index, violations& found)
{
    std::set<std::string> ended;
    for (const job_end_reported& end : index.m_job_ends)
    {
        ended.insert(end.m_job);
    }
    std::set<std::string> lost;
    for (const auto& [number, call] : index.m_calls)
    {
        const bool accepted = call.m_invoked && !call.m_answers.empty() &&
                              call.m_invoked->m_kind == call_kind::submit &&
                              !call.m_answers.front().m_refusal_verdict;
        if (accepted && !ended.contains(call.m_invoked->m_subject))
        {
            lost.insert(call.m_invoked->m_subject);
        }
    }
    for (const std::string& each : lost)
    {
        found.push_back({history_rule::lost_job, each + " has not ended"});
    }
}

void check_success(const history_index& index, violations& found)
{
    std::map<std::string, bool> complete;
    for (const auto& [attempt, runs] : index.m_runs_by_attempt)
    {
        const auto done = static_cast<std::uint32_t>(std::count_if(
            runs.begin(), runs.end(),
            [&](std::size_t each) { return index.m_runs[each].m_completed; }));
        const bool all =
            !runs.empty() &&
            done >= index.m_runs[runs.front()].m_start.m_gang_parts;
        complete[attempt.first] = complete[attempt.first] || all;
    }
    for (const job_end_reported& end : index.m_job_ends)
    {
        if (end.m_outcome == job_outcome::succeeded && !complete[end.m_job])
        {
            found.push_back(
                {history_rule::false_success,
                 end.m_job + " had no complete run" + at(end.m_at)});
        }
    }
}

void check_settings(const history_index& index, violations& found)
{
    std::map<std::string, std::uint64_t> newest_of;
    for (const settings_adopted& each : index.m_settings)
    {
        std::uint64_t& newest = newest_of[each.m_process];
        if (each.m_revision < newest)
        {
            found.push_back({history_rule::settings_reverted,
                             each.m_process + " went back to revision " +
                                 std::to_string(each.m_revision) +
                                 at(each.m_at)});
        }
        newest = std::max(newest, each.m_revision);
    }
}

/// Returns the time at which the capacity was free again: the completion that
/// the scheduler recorded, or a later end of a run on a worker.
instant reclaim_end(const history_index& index,
                    const history_index::attempt& attempt)
{
    auto done = index.m_reclaim_completions.find(attempt);
    instant end =
        done == index.m_reclaim_completions.end() ? never : done->second;
    auto runs = index.m_runs_by_attempt.find(attempt);
    if (runs != index.m_runs_by_attempt.end())
    {
        for (std::size_t each : runs->second)
        {
            end = std::max(end, index.m_runs[each].m_end);
        }
    }
    return end;
}

void check_reclaims(const history_index& index, violations& found)
{
    for (const reclaim_requested& each : index.m_reclaim_requests)
    {
        const instant end = reclaim_end(index, {each.m_job, each.m_attempt});
        if (end - each.m_at > each.m_bound)
        {
            found.push_back(
                {history_rule::reclaim_late,
                 each.m_job + " reclaim requested" + at(each.m_at)});
        }
    }
}

void check_draining(const history_index& index, span bound, violations& found)
{
    std::map<std::string, instant> draining_since;
    for (const history_event& event : index.m_target_events)
    {
        if (const auto* change = std::get_if<target_draining>(&event))
        {
            if (change->m_draining)
            {
                draining_since.try_emplace(change->m_target, change->m_at);
            }
            else
            {
                draining_since.erase(change->m_target);
            }
            continue;
        }
        const auto& work = std::get<work_placed>(event);
        auto since = draining_since.find(work.m_target);
        if (since != draining_since.end() && work.m_at - since->second > bound)
        {
            found.push_back(
                {history_rule::placed_on_draining,
                 work.m_subject + " on " + work.m_target + at(work.m_at)});
        }
    }
}

} // namespace

std::string_view to_string(history_rule rule)
{
    switch (rule)
    {
    case history_rule::accelerator_overlap:
        return "accelerator_overlap";
    case history_rule::partial_gang:
        return "partial_gang";
    case history_rule::repeated_run:
        return "repeated_run";
    case history_rule::wrong_answer:
        return "wrong_answer";
    case history_rule::ran_despite_not_run:
        return "ran_despite_not_run";
    case history_rule::lost_job:
        return "lost_job";
    case history_rule::false_success:
        return "false_success";
    case history_rule::settings_reverted:
        return "settings_reverted";
    case history_rule::reclaim_late:
        return "reclaim_late";
    case history_rule::placed_on_draining:
        return "placed_on_leaving";
    }
    return "unknown";
}

std::vector<history_violation>
check_history(const std::vector<history_event>& events,
              const history_bounds& bounds)
{
    const history_index index(events);
    violations found;
    check_overlaps(index, found);
    check_partial_gangs(index, bounds.m_partial_gang, found);
    check_repeated_runs(index, found);
    check_answers(index, found);
    check_not_run(index, found);
    if (bounds.m_jobs_must_end)
    {
        check_lost_jobs(index, found);
    }
    check_success(index, found);
    check_settings(index, found);
    check_reclaims(index, found);
    check_draining(index, bounds.m_placement_after_drain, found);
    return found;
}

} // namespace kingcuprudder
