#include <kingcuprudder/placement/tight_fit.hpp>

#include <algorithm>
#include <bit>
#include <tuple>

namespace kingcuprudder
{

namespace
{

std::uint32_t free_accelerators(const worker_free& left)
{
    return static_cast<std::uint32_t>(std::popcount(left.m_accelerators));
}

std::uint32_t free_accelerators(const free_table& table,
                                const worker_range& range)
{
    std::uint32_t sum = 0;
    for (std::size_t i = range.m_first; i < range.m_last; ++i)
    {
        sum += free_accelerators(table[i]);
    }
    return sum;
}

std::uint32_t tasks_in(const free_table& table, const worker_range& range,
                       const shape& needed)
{
    std::uint32_t tasks = 0;
    for (std::size_t i = range.m_first; i < range.m_last; ++i)
    {
        tasks += tasks_that_fit(table[i], needed);
    }
    return tasks;
}

/// The range of the next wider kind, whose room a placement also breaks.
proximity wider(proximity value)
{
    return value == proximity::worker ? proximity::rack : proximity::zone;
}

indexed_allocation allocate(const free_table& table, std::size_t index,
                            std::uint32_t tasks, const shape& needed)
{
    std::uint32_t count = tasks * needed.m_accelerators_per_task;
    return {static_cast<std::uint32_t>(index), tasks,
            choose_accelerators(table[index].m_accelerators, count)};
}

/// A worker with room for some tasks, in the order in which to fill it.
struct candidate
{
    std::uint32_t m_rack_free = 0;
    std::uint32_t m_worker_free = 0;
    std::uint32_t m_index = 0;
    std::uint32_t m_tasks = 0;

    friend auto operator<=>(const candidate&, const candidate&) = default;
};

std::vector<candidate> candidates_in(const free_table& table,
                                     const worker_ranges& ranges,
                                     const worker_range& range,
                                     const shape& needed)
{
    std::vector<candidate> found;
    const auto& racks = ranges.of(proximity::rack);
    std::size_t rack = racks.size();
    std::uint32_t rack_free = 0;
    for (std::size_t i = range.m_first; i < range.m_last; ++i)
    {
        std::uint32_t tasks = tasks_that_fit(table[i], needed);
        if (tasks == 0)
        {
            continue;
        }
        if (ranges.range_of(proximity::rack, i) != rack)
        {
            rack = ranges.range_of(proximity::rack, i);
            rack_free = free_accelerators(table, racks[rack]);
        }
        found.push_back({rack_free, free_accelerators(table[i]),
                         static_cast<std::uint32_t>(i), tasks});
    }
    return found;
}

/// One worker that holds all tasks, the one with the least room to spare.
/// Saves sorting all candidates for the many jobs with one task.
std::optional<indexed_placement>
fit_on_one(const free_table& table, const std::vector<candidate>& candidates,
           const shape& needed)
{
    const candidate* best = nullptr;
    for (const candidate& each : candidates)
    {
        if (each.m_tasks >= needed.m_tasks &&
            (best == nullptr ||
             std::tie(each.m_worker_free, each.m_rack_free, each.m_index) <
                 std::tie(best->m_worker_free, best->m_rack_free,
                          best->m_index)))
        {
            best = &each;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return indexed_placement{
        allocate(table, best->m_index, needed.m_tasks, needed)};
}

/// Replaces the last, partly used worker by one that the rest just fills.
void finish_exactly(const free_table& table,
                    const std::vector<candidate>& candidates, std::size_t next,
                    const shape& needed, indexed_placement& where)
{
    indexed_allocation& last = where.back();
    if (tasks_that_fit(table[last.m_worker], needed) == last.m_tasks)
    {
        return;
    }
    for (std::size_t i = next; i < candidates.size(); ++i)
    {
        if (candidates[i].m_tasks == last.m_tasks)
        {
            last = allocate(table, candidates[i].m_index, last.m_tasks, needed);
            return;
        }
    }
}

} // namespace

std::optional<indexed_placement> tight_fit_in(const free_table& table,
                                              const worker_ranges& ranges,
                                              const worker_range& range,
                                              const shape& needed)
{
    std::vector<candidate> candidates =
        candidates_in(table, ranges, range, needed);
    if (needed.m_tasks == 1 || needed.m_proximity == proximity::worker)
    {
        return fit_on_one(table, candidates, needed);
    }
    std::sort(candidates.begin(), candidates.end());
    indexed_placement where;
    std::uint32_t missing = needed.m_tasks;
    std::size_t next = 0;
    while (missing > 0 && next < candidates.size())
    {
        const candidate& each = candidates[next++];
        std::uint32_t tasks = std::min(missing, each.m_tasks);
        where.push_back(allocate(table, each.m_index, tasks, needed));
        missing -= tasks;
    }
    if (missing > 0)
    {
        return std::nullopt;
    }
    finish_exactly(table, candidates, next, needed, where);
    std::sort(where.begin(), where.end());
    return where;
}

std::optional<indexed_placement> tight_fit(const free_table& table,
                                           const worker_ranges& ranges,
                                           const shape& needed)
{
    const worker_range* best = nullptr;
    std::tuple<std::uint32_t, std::uint32_t> best_cost;
    const auto& wider_ranges = ranges.of(wider(needed.m_proximity));
    for (const worker_range& range : ranges.of(needed.m_proximity))
    {
        if (tasks_in(table, range, needed) < needed.m_tasks)
        {
            continue;
        }
        std::size_t around =
            ranges.range_of(wider(needed.m_proximity), range.m_first);
        std::tuple<std::uint32_t, std::uint32_t> cost{
            free_accelerators(table, range),
            free_accelerators(table, wider_ranges[around])};
        if (best == nullptr || cost < best_cost)
        {
            best = &range;
            best_cost = cost;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return tight_fit_in(table, ranges, *best, needed);
}

std::optional<indexed_placement> contiguous_fit(const free_table& table,
                                                const worker_ranges& ranges,
                                                const shape& needed)
{
    using cost_type = std::tuple<std::size_t, std::uint32_t>;
    std::optional<cost_type> best_cost;
    worker_range best;
    for (const worker_range& range : ranges.of(needed.m_proximity))
    {
        std::uint32_t tasks = 0;
        std::size_t first = range.m_first;
        for (std::size_t last = range.m_first; last < range.m_last; ++last)
        {
            tasks += tasks_that_fit(table[last], needed);
            // Drops leading workers that the row does not need.
            while (tasks >= needed.m_tasks)
            {
                cost_type cost{last - first, tasks - needed.m_tasks};
                if (!best_cost.has_value() || cost < *best_cost)
                {
                    best_cost = cost;
                    best = {first, last + 1};
                }
                tasks -= tasks_that_fit(table[first], needed);
                ++first;
            }
        }
    }
    if (!best_cost.has_value())
    {
        return std::nullopt;
    }
    return tight_fit_in(table, ranges, best, needed);
}

range_room most_room(const free_table& table, const worker_ranges& ranges,
                     const shape& needed)
{
    range_room best;
    const auto& all = ranges.of(needed.m_proximity);
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        std::uint32_t tasks = tasks_in(table, all[i], needed);
        if (tasks > best.m_tasks)
        {
            best = {tasks, i};
        }
    }
    return best;
}

} // namespace kingcuprudder
