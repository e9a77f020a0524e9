#include <kingcuprudder/dispatch/failure_history.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace kingcuprudder::dispatch
{

namespace
{

// A worker is avoided after failures of this many jobs without a success.
constexpr std::size_t failed_jobs_to_avoid = 2;
// A task that fails on more workers than this is bad, however many jobs failed
// on each of them.
constexpr std::size_t max_failed_workers = 3;
// Workers with a failure within this time are used after all others.
constexpr span recent_failure_period = span(8000);
// Older failures do not add to new ones.
constexpr span failure_memory = span(60'000);

std::size_t count_jobs(const std::map<task_ref, instant>& failures)
{
    std::set<std::string> jobs;
    for (const auto& [task, time] : failures)
    {
        jobs.insert(task.m_job);
    }
    return jobs.size();
}

} // namespace

void failure_history::worker_record::erase(const task_ref& task)
{
    m_recent.erase(task);
    m_since_success.erase(task);
    m_avoided_for.erase(task);
}

failure_cause failure_history::add(const std::string& worker,
                                   const task_ref& task, instant now)
{
    discard_old(now);
    std::set<std::string>& failed_on = m_failed_on[task];
    if (failed_on.size() <= max_failed_workers)
    {
        failed_on.insert(worker);
    }
    if (failed_on.size() > max_failed_workers)
    {
        return failure_cause::task;
    }
    worker_record& record = m_workers[worker];
    record.m_recent[task] = now;
    record.m_since_success[task] = now;
    const std::set<std::string> jobs = blaming_jobs(record.m_since_success);
    if (jobs.size() >= failed_jobs_to_avoid)
    {
        record.m_avoided_for = record.m_since_success;
        record.m_avoided_until = now + failing_worker_quarantine;
    }
    if (!jobs.contains(task.m_job))
    {
        return failure_cause::task;
    }
    return jobs.size() >= failed_jobs_to_avoid ? failure_cause::worker
                                               : failure_cause::unknown;
}

void failure_history::worker_succeeded(const std::string& worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
    {
        found->second.m_since_success.clear();
    }
}

void failure_history::task_succeeded(const task_ref& task)
{
    settle(task);
}

void failure_history::worker_restarted(const std::string& worker)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
    {
        found->second.m_since_success.clear();
        found->second.m_avoided_for.clear();
        found->second.m_avoided_until = instant();
    }
}

void failure_history::attempts_used(const task_ref& task)
{
    const std::size_t workers = failed_workers(task);
    const task_ref first{task.m_job, 0, 0, 0};
    for (auto each = m_failed_on.lower_bound(first);
         workers > 1 && each != m_failed_on.end() &&
         each->first.m_job == task.m_job;
         ++each)
    {
        for (const std::string& worker : each->second)
        {
            const auto found = m_workers.find(worker);
            if (found != m_workers.end() &&
                count_jobs(found->second.m_recent) <= workers)
            {
                found->second.erase(each->first);
            }
        }
    }
    job_ended(task.m_job);
}

void failure_history::job_ended(const std::string& job)
{
    std::vector<task_ref> tasks;
    for (auto each = m_failed_on.lower_bound(task_ref{job, 0, 0, 0});
         each != m_failed_on.end() && each->first.m_job == job; ++each)
    {
        tasks.push_back(each->first);
    }
    for (const task_ref& task : tasks)
    {
        settle(task);
    }
}

bool failure_history::is_avoided(const std::string& worker, instant now) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && now < found->second.m_avoided_until &&
           blaming_jobs(found->second.m_avoided_for).size() >=
               failed_jobs_to_avoid;
}

bool failure_history::failed_recently(const std::string& worker,
                                      instant now) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
    {
        return false;
    }
    failures recent = found->second.m_recent;
    std::erase_if(recent, [now](const auto& each)
                  { return now - each.second >= recent_failure_period; });
    return !blaming_jobs(recent).empty();
}

std::size_t failure_history::failed_jobs(const std::string& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end()
               ? 0
               : blaming_jobs(found->second.m_since_success).size();
}

std::size_t failure_history::failed_workers(const task_ref& task) const
{
    const auto found = m_failed_on.find(task);
    return found == m_failed_on.end() ? 0 : found->second.size();
}

std::set<std::string>
failure_history::blaming_jobs(const failures& on_worker) const
{
    const std::size_t most_workers =
        std::min(count_jobs(on_worker), max_failed_workers);
    std::set<std::string> jobs;
    for (const auto& [task, time] : on_worker)
    {
        if (failed_workers(task) <= most_workers)
        {
            jobs.insert(task.m_job);
        }
    }
    return jobs;
}

void failure_history::settle(const task_ref& task)
{
    const auto failed_on = m_failed_on.find(task);
    if (failed_on == m_failed_on.end())
    {
        return;
    }
    for (const std::string& worker : failed_on->second)
    {
        const auto found = m_workers.find(worker);
        if (found != m_workers.end() &&
            failed_on->second.size() >
                std::min(count_jobs(found->second.m_recent),
                         max_failed_workers))
        {
            found->second.erase(task);
        }
    }
    m_failed_on.erase(failed_on);
}

void failure_history::discard_old(instant now)
{
    const auto is_old = [now](const auto& failure)
    { return now - failure.second > failure_memory; };
    for (auto each = m_workers.begin(); each != m_workers.end();)
    {
        worker_record& record = each->second;
        std::erase_if(record.m_recent, is_old);
        std::erase_if(record.m_since_success, is_old);
        const bool is_over =
            record.m_recent.empty() && now >= record.m_avoided_until;
        each = is_over ? m_workers.erase(each) : std::next(each);
    }
}

} // namespace kingcuprudder::dispatch
