#include <kingcuprudder/dispatch/capacity_forecast.hpp>

#include <algorithm>
#include <cstddef>

namespace kingcuprudder::dispatch
{

namespace
{

/// A change of the capacity of one worker.
struct capacity_change
{
    span m_after;
    std::size_t m_worker = 0;
    resources m_resources;
};

std::vector<capacity_change>
changes_in_order(const std::vector<worker_forecast>& workers)
{
    std::vector<capacity_change> changes;
    for (std::size_t index = 0; index < workers.size(); ++index)
    {
        const worker_forecast& worker = workers[index];
        changes.push_back({worker.m_usable_after, index, worker.m_free});
        for (const capacity_release& release : worker.m_releases)
        {
            changes.push_back({std::max(release.m_after, worker.m_usable_after),
                               index, release.m_resources});
        }
    }
    std::stable_sort(
        changes.begin(), changes.end(),
        [](const capacity_change& left, const capacity_change& right)
        { return left.m_after < right.m_after; });
    return changes;
}

} // namespace

span expected_time_left(span elapsed, span expected)
{
    return elapsed < expected ? expected - elapsed : elapsed - expected;
}

std::optional<span> time_until_fit(const std::vector<worker_forecast>& workers,
                                   int tasks, const tasks_that_fit& fitting)
{
    std::vector<resources> free(workers.size());
    std::vector<std::int64_t> counts(workers.size());
    std::int64_t total = 0;
    for (const capacity_change& change : changes_in_order(workers))
    {
        free[change.m_worker] += change.m_resources;
        const std::int64_t count = fitting(free[change.m_worker]);
        total += count - counts[change.m_worker];
        counts[change.m_worker] = count;
        if (total >= tasks)
        {
            return change.m_after;
        }
    }
    return std::nullopt;
}

bool ends_sooner_after_wait(const place_choice& choice)
{
    if (!choice.m_wait)
    {
        return false;
    }
    const span wait = std::max(*choice.m_wait, choice.m_waited);
    const double longer = static_cast<double>(choice.m_duration.count()) *
                          (choice.m_slowdown - 1);
    return static_cast<double>(wait.count()) < longer;
}

} // namespace kingcuprudder::dispatch
