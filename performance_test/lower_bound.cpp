#include "workload.hpp"

#include <algorithm>
#include <queue>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// One job of the fluid relaxation: the whole cluster is one machine that may
/// work on any part of any job at any time.
struct fluid_job
{
    double m_arrival = 0;
    double m_run_time = 0; ///< On its own accelerators, in milliseconds.
    double m_work = 0;     ///< On the whole cluster, in milliseconds.
};

std::vector<fluid_job> relax(const std::vector<generated_job>& jobs,
                             std::uint32_t accelerators)
{
    std::vector<fluid_job> relaxed;
    for (const generated_job& each : jobs)
    {
        double size = each.m_job.m_spec.m_shape.accelerators();
        auto run_time = static_cast<double>(each.m_actual.count());
        if (size > 0)
        {
            relaxed.push_back(
                {static_cast<double>(each.m_job.m_accepted_at.count()),
                 run_time, run_time * size / accelerators});
        }
    }
    return relaxed;
}

struct fluid_result
{
    double m_completion = 0;     ///< Sum of completion - arrival.
    double m_mean_busy_time = 0; ///< Sum of mean busy time - arrival.
};

/// Schedules the jobs preemptively on the one machine, by least remaining work
/// or by least total work.
fluid_result run_fluid(const std::vector<fluid_job>& jobs, bool by_remaining)
{
    using entry = std::pair<double, std::size_t>;
    std::priority_queue<entry, std::vector<entry>, std::greater<>> ready;
    std::vector<double> left(jobs.size());
    std::vector<double> moment(jobs.size(), 0);
    fluid_result result;
    double now = 0;
    std::size_t next = 0;
    while (next < jobs.size() || !ready.empty())
    {
        if (ready.empty())
        {
            now = std::max(now, jobs[next].m_arrival);
        }
        for (; next < jobs.size() && jobs[next].m_arrival <= now; ++next)
        {
            left[next] = jobs[next].m_work;
            ready.emplace(jobs[next].m_work, next);
        }
        std::size_t job = ready.top().second;
        ready.pop();
        double until = now + left[job];
        bool done = next == jobs.size() || until <= jobs[next].m_arrival;
        if (!done)
        {
            until = jobs[next].m_arrival;
        }
        double part = until - now;
        moment[job] += part * (now + until) / 2;
        left[job] -= part;
        now = until;
        if (!done)
        {
            ready.emplace(by_remaining ? left[job] : jobs[job].m_work, job);
            continue;
        }
        result.m_completion += now - jobs[job].m_arrival;
        result.m_mean_busy_time +=
            moment[job] / jobs[job].m_work - jobs[job].m_arrival;
    }
    return result;
}

} // namespace

// The bound is the largest of three bounds that no schedule can beat, with
// full knowledge of the future and of all run times:
// 1. every job takes at least its run time;
// 2. the cluster as one machine of the same total speed, preemptive, shortest
//    remaining work first, which minimises the sum of completion times there;
// 3. the same machine with the least sum of mean busy times (smallest work
//    first, preemptive), plus half of each run time: a job cannot use more
//    than its own accelerators, so it ends at least half its run time after
//    its mean busy time.
double completion_lower_bound(const std::vector<generated_job>& jobs,
                              std::uint32_t accelerators)
{
    std::vector<fluid_job> relaxed = relax(jobs, accelerators);
    double run_times = 0;
    for (const fluid_job& each : relaxed)
    {
        run_times += each.m_run_time;
    }
    double completion = run_fluid(relaxed, true).m_completion;
    double busy = run_fluid(relaxed, false).m_mean_busy_time + run_times / 2;
    return std::max({run_times, completion, busy}) /
           static_cast<double>(relaxed.size());
}

} // namespace kingcuprudder
