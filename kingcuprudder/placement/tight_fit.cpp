#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/placement/tight_fit.hpp>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace kingcuprudder
{

namespace
{

std::uint32_t free_accelerators(const free_capacity& left)
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

indexed_allocation make_allocation(const free_table& table, std::size_t index,
                                   std::uint32_t tasks, const shape& needed)
{
    std::uint32_t count = tasks * needed.m_accelerators_per_task;
    return {static_cast<std::uint32_t>(index), tasks,
            choose_accelerators(table[index].m_accelerators, count)};
}

/// A worker with free capacity for some tasks.
struct candidate
{
    std::uint32_t m_index = 0;
    std::uint32_t m_tasks = 0;
    std::uint32_t m_free = 0;
    std::uint32_t m_rack_free = 0;
    bool m_idle = false; ///< All accelerators of the worker are free.
};

/// The fragmentation that a placement causes. Lower values are better.
struct fit_cost
{
    /// Idle workers that become partly used, and partly used workers that share
    /// the remaining tasks when no single worker can hold them.
    std::uint32_t m_fragmented_workers = 0;
    std::uint32_t m_range_free = 0;
    std::uint32_t m_wider_free = 0;

    friend auto operator<=>(const fit_cost&, const fit_cost&) = default;
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
        std::uint32_t free = free_accelerators(table[i]);
        found.push_back({static_cast<std::uint32_t>(i), tasks, free, rack_free,
                         free == ranges.accelerators_of(i)});
    }
    return found;
}

/// Distributes a gang over the workers of one range. Idle workers are filled
/// completely and the remaining tasks go to partly used ones, so that all
/// accelerators of one worker become free together.
class range_filler
{
public:
    range_filler(const free_table& table, const shape& needed,
                 const std::vector<candidate>& candidates)
        : m_table(table), m_needed(needed), m_missing(needed.m_tasks)
    {
        for (const candidate& each : candidates)
        {
            (each.m_idle ? m_idle : m_partly_used).push_back(each);
        }
    }

    /// Assigns all tasks. Returns false when the range lacks free capacity.
    bool fill()
    {
        if (!assign_to_tightest(m_partly_used))
        {
            fill_idle_workers();
        }
        if (m_missing > 0 && !assign_to_tightest(m_partly_used))
        {
            fill_partly_used_workers();
        }
        return m_missing == 0 || assign_to_tightest(m_idle);
    }

    std::uint32_t fragmented_workers() const { return m_fragmented_workers; }

    indexed_placement result()
    {
        std::sort(m_placement.begin(), m_placement.end());
        return std::move(m_placement);
    }

private:
    void assign(const candidate& each, std::uint32_t tasks)
    {
        m_placement.push_back(
            make_allocation(m_table, each.m_index, tasks, m_needed));
        m_missing -= tasks;
    }

    /// Assigns all missing tasks to the worker with the fewest free
    /// accelerators that can hold them. Returns false when there is none.
    bool assign_to_tightest(std::vector<candidate>& from)
    {
        auto best = from.end();
        for (auto each = from.begin(); each != from.end(); ++each)
        {
            if (each->m_tasks >= m_missing &&
                (best == from.end() ||
                 std::tie(each->m_free, each->m_rack_free, each->m_index) <
                     std::tie(best->m_free, best->m_rack_free, best->m_index)))
            {
                best = each;
            }
        }
        if (best == from.end())
        {
            return false;
        }
        if (best->m_idle && best->m_tasks > m_missing)
        {
            ++m_fragmented_workers;
        }
        assign(*best, m_missing);
        return true;
    }

    void fill_idle_workers()
    {
        // Small workers first, as no larger shape needs them.
        std::sort(
            m_idle.begin(), m_idle.end(),
            [](const candidate& left, const candidate& right)
            {
                return std::tie(left.m_free, left.m_rack_free, left.m_index) <
                       std::tie(right.m_free, right.m_rack_free, right.m_index);
            });
        std::vector<candidate> left_over;
        for (const candidate& each : m_idle)
        {
            if (m_missing > 0 && each.m_tasks <= m_missing)
            {
                assign(each, each.m_tasks);
            }
            else
            {
                left_over.push_back(each);
            }
        }
        m_idle = std::move(left_over);
    }

    void fill_partly_used_workers()
    {
        std::sort(m_partly_used.begin(), m_partly_used.end(),
                  [](const candidate& left, const candidate& right)
                  {
                      return std::tie(right.m_tasks, left.m_index) <
                             std::tie(left.m_tasks, right.m_index);
                  });
        for (const candidate& each : m_partly_used)
        {
            if (m_missing == 0)
            {
                break;
            }
            assign(each, std::min(m_missing, each.m_tasks));
            ++m_fragmented_workers;
        }
    }

    const free_table& m_table;
    const shape& m_needed;
    std::uint32_t m_missing;
    std::vector<candidate> m_idle;
    std::vector<candidate> m_partly_used;
    indexed_placement m_placement;
    std::uint32_t m_fragmented_workers = 0;
};

/// Places the whole gang on the worker that it fragments least.
std::optional<indexed_placement> fit_on_one_worker(const free_table& table,
                                                   const worker_ranges& ranges,
                                                   const shape& needed)
{
    std::optional<std::tuple<bool, std::uint32_t, std::uint32_t>> best_cost;
    std::size_t best = 0;
    std::vector<candidate> all =
        candidates_in(table, ranges, {0, table.size()}, needed);
    for (const candidate& each : all)
    {
        std::tuple<bool, std::uint32_t, std::uint32_t> cost{
            each.m_idle && each.m_tasks > needed.m_tasks, each.m_free,
            each.m_rack_free};
        if (each.m_tasks >= needed.m_tasks &&
            (!best_cost.has_value() || cost < *best_cost))
        {
            best_cost = cost;
            best = each.m_index;
        }
    }
    if (!best_cost.has_value())
    {
        return std::nullopt;
    }
    return indexed_placement{
        make_allocation(table, best, needed.m_tasks, needed)};
}

/// Maximum number of windows that are compared. The bound keeps the cost of
/// laying out many shapes proportional to their number.
constexpr std::size_t max_compared_windows = 16;

struct worker_window
{
    worker_range m_workers;
    std::size_t m_first_found = 0; ///< Start of the first window found.
};

/// Returns the shortest window that starts at worker from or later and holds
/// the gang, with the least spare capacity among windows of the same length.
std::optional<worker_window> best_window(const free_table& table,
                                         const worker_ranges& ranges,
                                         const shape& needed, std::size_t from)
{
    std::optional<worker_window> best;
    std::tuple<std::size_t, std::uint32_t> best_cost;
    std::size_t found = 0;
    const auto& all = ranges.of(needed.m_proximity);
    for (std::size_t number = ranges.range_of(needed.m_proximity, from);
         number < all.size() && found < max_compared_windows; ++number)
    {
        std::uint32_t tasks = 0;
        std::size_t first = std::max(from, all[number].m_first);
        for (std::size_t last = first;
             last < all[number].m_last && found < max_compared_windows; ++last)
        {
            tasks += tasks_that_fit(table[last], needed);
            // Removes leading workers that the window does not need.
            while (tasks >= needed.m_tasks)
            {
                std::tuple<std::size_t, std::uint32_t> cost{
                    last - first, tasks - needed.m_tasks};
                if (!best.has_value() || cost < best_cost)
                {
                    std::size_t first_found =
                        best.has_value() ? best->m_first_found : first;
                    best = {{first, last + 1}, first_found};
                    best_cost = cost;
                }
                ++found;
                tasks -= tasks_that_fit(table[first], needed);
                ++first;
            }
        }
    }
    return best;
}

} // namespace

std::optional<indexed_placement> tight_fit_in(const free_table& table,
                                              const worker_ranges& ranges,
                                              const worker_range& range,
                                              const shape& needed)
{
    range_filler filler(table, needed,
                        candidates_in(table, ranges, range, needed));
    if (!filler.fill())
    {
        return std::nullopt;
    }
    return filler.result();
}

std::optional<indexed_placement> tight_fit(const free_table& table,
                                           const worker_ranges& ranges,
                                           const shape& needed)
{
    if (needed.m_proximity == proximity::worker)
    {
        return fit_on_one_worker(table, ranges, needed);
    }
    std::optional<fit_cost> best_cost;
    indexed_placement best;
    const auto& zones = ranges.of(proximity::zone);
    for (const worker_range& range : ranges.of(needed.m_proximity))
    {
        if (tasks_in(table, range, needed) < needed.m_tasks)
        {
            continue;
        }
        range_filler filler(table, needed,
                            candidates_in(table, ranges, range, needed));
        KCR_ASSERT(filler.fill());
        std::size_t zone = ranges.range_of(proximity::zone, range.m_first);
        fit_cost cost{filler.fragmented_workers(),
                      free_accelerators(table, range),
                      free_accelerators(table, zones[zone])};
        if (!best_cost.has_value() || cost < *best_cost)
        {
            best_cost = cost;
            best = filler.result();
        }
    }
    if (!best_cost.has_value())
    {
        return std::nullopt;
    }
    return best;
}

std::optional<indexed_placement>
contiguous_packer::place(const free_table& table, const shape& needed)
{
    progress& state = m_progress[needed];
    if (state.m_exhausted)
    {
        return std::nullopt;
    }
    auto window = best_window(table, m_ranges, needed, state.m_next);
    if (!window.has_value() && state.m_next > 0)
    {
        // The remaining capacity of skipped workers may form a window.
        window = best_window(table, m_ranges, needed, 0);
    }
    if (!window.has_value())
    {
        state.m_exhausted = true;
        return std::nullopt;
    }
    state.m_next = window->m_first_found;
    return tight_fit_in(table, m_ranges, window->m_workers, needed);
}

range_capacity range_with_most_capacity(const free_table& table,
                                        const worker_ranges& ranges,
                                        const shape& needed)
{
    range_capacity best;
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
