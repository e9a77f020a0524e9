#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>

#include <algorithm>
#include <bit>
#include <limits>

namespace kingcuprudder
{

namespace
{

constexpr std::uint32_t mask_bits = 64;

std::uint64_t low_bits(std::uint32_t count)
{
    return count >= mask_bits ? ~std::uint64_t{0}
                              : (std::uint64_t{1} << count) - 1;
}

/// Groups adjacent workers for which same() returns true into ranges.
template <class Same>
std::vector<worker_range> group_workers(std::size_t count, Same same)
{
    std::vector<worker_range> ranges;
    for (std::size_t index = 0; index < count; ++index)
    {
        if (index > 0 && same(index - 1, index))
        {
            ranges.back().m_last = index + 1;
        }
        else
        {
            ranges.push_back({index, index + 1});
        }
    }
    return ranges;
}

std::vector<std::uint32_t> range_numbers(const std::vector<worker_range>& all,
                                         std::size_t count)
{
    std::vector<std::uint32_t> numbers(count);
    for (std::size_t number = 0; number < all.size(); ++number)
    {
        for (std::size_t i = all[number].m_first; i < all[number].m_last; ++i)
        {
            numbers[i] = static_cast<std::uint32_t>(number);
        }
    }
    return numbers;
}

std::uint32_t count_that_fit(std::uint32_t left, std::uint32_t per_task)
{
    return per_task == 0 ? std::numeric_limits<std::uint32_t>::max()
                         : left / per_task;
}

/// The lowest count bits that are set.
std::uint64_t lowest_set(std::uint64_t free, std::uint32_t count)
{
    std::uint64_t chosen = 0;
    for (std::uint32_t taken = 0; taken < count; ++taken)
    {
        std::uint64_t lowest = free & (~free + 1);
        chosen |= lowest;
        free &= ~lowest;
    }
    return chosen;
}

} // namespace

worker_ranges::worker_ranges(const cluster& region)
{
    std::size_t count = region.size();
    m_workers =
        group_workers(count, [](std::size_t, std::size_t) { return false; });
    m_zones = group_workers(count,
                            [&](std::size_t left, std::size_t right) {
                                return region.worker_at(left).m_zone ==
                                       region.worker_at(right).m_zone;
                            });
    m_racks =
        group_workers(count,
                      [&](std::size_t left, std::size_t right)
                      {
                          const worker& a = region.worker_at(left);
                          const worker& b = region.worker_at(right);
                          return a.m_zone == b.m_zone && a.m_rack == b.m_rack;
                      });
    m_region =
        group_workers(count, [](std::size_t, std::size_t) { return true; });
    m_rack_of = range_numbers(m_racks, count);
    m_zone_of = range_numbers(m_zones, count);
    for (std::size_t index = 0; index < count; ++index)
    {
        m_accelerators.push_back(region.worker_at(index).m_accelerators);
    }
}

const std::vector<worker_range>& worker_ranges::of(proximity value) const
{
    switch (value)
    {
    case proximity::worker:
        return m_workers;
    case proximity::rack:
        return m_racks;
    case proximity::zone:
        return m_zones;
    case proximity::region:
        return m_region;
    }
    return m_region;
}

std::size_t worker_ranges::range_of(proximity value, std::size_t worker) const
{
    switch (value)
    {
    case proximity::worker:
        return worker;
    case proximity::rack:
        return m_rack_of[worker];
    case proximity::zone:
        return m_zone_of[worker];
    case proximity::region:
        return 0;
    }
    return 0;
}

free_table free_resources(const cluster& region)
{
    free_table table(region.size());
    for (std::size_t index = 0; index < table.size(); ++index)
    {
        if (region.usable(index))
        {
            table[index] = region.free_at(index);
        }
    }
    return table;
}

free_table total_resources(const cluster& region)
{
    free_table table;
    table.reserve(region.size());
    for (std::size_t index = 0; index < region.size(); ++index)
    {
        const worker& each = region.worker_at(index);
        table.push_back(
            {low_bits(each.m_accelerators), each.m_cores, each.m_memory_mb});
    }
    return table;
}

std::uint32_t tasks_that_fit(const free_capacity& left, const shape& needed)
{
    auto accelerators =
        static_cast<std::uint32_t>(std::popcount(left.m_accelerators));
    return std::min(
        {count_that_fit(accelerators, needed.m_accelerators_per_task),
         count_that_fit(left.m_cores, needed.m_cores_per_task),
         count_that_fit(left.m_memory_mb, needed.m_memory_mb_per_task),
         needed.m_tasks});
}

std::uint64_t choose_accelerators(std::uint64_t free, std::uint32_t count)
{
    if (count == 0)
    {
        return 0;
    }
    std::uint64_t best = 0;
    std::uint32_t best_length = mask_bits + 1;
    std::uint32_t at = 0;
    while (at < mask_bits && (free >> at) != 0)
    {
        at += static_cast<std::uint32_t>(std::countr_zero(free >> at));
        auto length = static_cast<std::uint32_t>(std::countr_one(free >> at));
        if (length >= count && length < best_length)
        {
            best_length = length;
            best = low_bits(count) << at;
        }
        at += length;
    }
    return best != 0 ? best : lowest_set(free, count);
}

free_capacity without(const free_capacity& left, const free_capacity& excluded)
{
    return {left.m_accelerators & ~excluded.m_accelerators,
            left.m_cores - std::min(left.m_cores, excluded.m_cores),
            left.m_memory_mb -
                std::min(left.m_memory_mb, excluded.m_memory_mb)};
}

bool can_allocate(const free_capacity& left, const shape& needed,
                  const indexed_allocation& part)
{
    return (part.m_accelerators & ~left.m_accelerators) == 0 &&
           left.m_cores >= part.m_tasks * needed.m_cores_per_task &&
           left.m_memory_mb >= part.m_tasks * needed.m_memory_mb_per_task;
}

bool is_free(const free_table& table, const shape& needed,
             const indexed_placement& where)
{
    return std::all_of(
        where.begin(), where.end(),
        [&](const indexed_allocation& part)
        { return can_allocate(table[part.m_worker], needed, part); });
}

void subtract_resources(free_table& table, const shape& needed,
                        const indexed_allocation& part)
{
    free_capacity& left = table[part.m_worker];
    left.m_accelerators &= ~part.m_accelerators;
    left.m_cores -=
        std::min(left.m_cores, part.m_tasks * needed.m_cores_per_task);
    left.m_memory_mb -=
        std::min(left.m_memory_mb, part.m_tasks * needed.m_memory_mb_per_task);
}

void subtract_resources(free_table& table, const shape& needed,
                        const indexed_placement& where)
{
    for (const indexed_allocation& part : where)
    {
        subtract_resources(table, needed, part);
    }
}

void add_resources(free_table& table, const shape& needed,
                   const indexed_allocation& part)
{
    free_capacity& left = table[part.m_worker];
    left.m_accelerators |= part.m_accelerators;
    left.m_cores += part.m_tasks * needed.m_cores_per_task;
    left.m_memory_mb += part.m_tasks * needed.m_memory_mb_per_task;
}

std::optional<indexed_placement> first_fit(const free_table& table,
                                           const worker_ranges& ranges,
                                           const shape& needed)
{
    for (const worker_range& range : ranges.of(needed.m_proximity))
    {
        indexed_placement where;
        std::uint32_t missing = needed.m_tasks;
        for (std::size_t i = range.m_first; i < range.m_last; ++i)
        {
            std::uint32_t tasks =
                std::min(missing, tasks_that_fit(table[i], needed));
            if (tasks > 0)
            {
                std::uint32_t count = tasks * needed.m_accelerators_per_task;
                where.push_back(
                    {static_cast<std::uint32_t>(i), tasks,
                     choose_accelerators(table[i].m_accelerators, count)});
                missing -= tasks;
            }
            if (missing == 0)
            {
                return where;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> reason_never_fits(const free_table& resources,
                                             const worker_ranges& ranges,
                                             const shape& needed,
                                             const std::string& name)
{
    if (needed.m_tasks == 0)
    {
        return "a job needs at least one task";
    }
    std::uint32_t most = 0;
    for (const worker_range& range : ranges.of(needed.m_proximity))
    {
        std::uint32_t tasks = 0;
        for (std::size_t i = range.m_first; i < range.m_last; ++i)
        {
            tasks += std::min(needed.m_tasks - tasks,
                              tasks_that_fit(resources[i], needed));
        }
        most = std::max(most, tasks);
    }
    if (most == needed.m_tasks)
    {
        return std::nullopt;
    }
    return "needs " + describe(needed) + "; " + name + " can hold " +
           std::to_string(most) + " such tasks at most";
}

placement to_placement(const cluster& region, const indexed_placement& where)
{
    placement result;
    result.reserve(where.size());
    for (const indexed_allocation& part : where)
    {
        result.push_back({region.worker_at(part.m_worker).m_id, part.m_tasks,
                          part.m_accelerators});
    }
    return result;
}

indexed_placement to_indexed(const cluster& region, const placement& where)
{
    indexed_placement result;
    result.reserve(where.size());
    for (const allocation& part : where)
    {
        std::size_t index = region.index_of(part.m_worker);
        if (index < region.size())
        {
            result.push_back({static_cast<std::uint32_t>(index), part.m_tasks,
                              part.m_accelerators});
        }
    }
    return result;
}

std::string describe(const shape& needed)
{
    std::string text = std::to_string(needed.m_tasks) + " tasks x " +
                       std::to_string(needed.m_accelerators_per_task) +
                       " accelerators";
    if (needed.m_proximity == proximity::region)
    {
        return text + " anywhere in the region";
    }
    return text + " in one " + std::string(to_string(needed.m_proximity));
}

} // namespace kingcuprudder
