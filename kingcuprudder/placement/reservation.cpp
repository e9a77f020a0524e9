#include <kingcuprudder/placement/reservation.hpp>
#include <kingcuprudder/placement/tight_fit.hpp>

#include <algorithm>

namespace kingcuprudder
{

namespace
{

std::uint32_t saturating_subtract(std::uint32_t value, std::uint32_t amount)
{
    return value - std::min(value, amount);
}

/// Applies the expected releases in order and counts the tasks that fit into
/// each range.
class release_simulation
{
public:
    release_simulation(const release_forecast& forecast, const shape& needed)
        : m_forecast(forecast), m_needed(needed), m_free(forecast.m_free),
          m_task_capacity(forecast.m_ranges.of(needed.m_proximity).size(), 0)
    {
        for (std::size_t i = 0; i < m_free.size(); ++i)
        {
            capacity_around(i) += tasks_on(i);
        }
    }

    bool has_capacity(std::size_t range) const
    {
        return m_task_capacity[range] >= m_needed.m_tasks;
    }

    /// Applies one release and returns a range that can hold the gang
    /// afterwards, if any.
    std::optional<std::size_t> add(const expected_release& release)
    {
        std::optional<std::size_t> found;
        for (const indexed_allocation& part : *release.m_placement)
        {
            std::uint32_t& capacity = capacity_around(part.m_worker);
            capacity -= tasks_on(part.m_worker);
            add_resources(m_free, *release.m_shape, part);
            capacity += tasks_on(part.m_worker);
            if (capacity >= m_needed.m_tasks && !found.has_value())
            {
                found = m_forecast.m_ranges.range_of(m_needed.m_proximity,
                                                     part.m_worker);
            }
        }
        return found;
    }

    std::optional<std::size_t> range_with_capacity() const
    {
        for (std::size_t range = 0; range < m_task_capacity.size(); ++range)
        {
            if (has_capacity(range))
            {
                return range;
            }
        }
        return std::nullopt;
    }

    reservation make(instant start, std::size_t range) const
    {
        free_table usable(m_free.size());
        const auto& ranges = m_forecast.m_ranges.of(m_needed.m_proximity);
        for (std::size_t i = ranges[range].m_first; i < ranges[range].m_last;
             ++i)
        {
            usable[i] = without(m_free[i], m_forecast.m_excluded[i]);
        }
        auto where =
            tight_fit_in(usable, m_forecast.m_ranges, ranges[range], m_needed);
        reservation result{
            start, range, where.value_or(indexed_placement{}), m_needed, {}};
        for (const indexed_allocation& part : result.m_placement)
        {
            result.m_free_at_start.push_back(m_free[part.m_worker]);
        }
        return result;
    }

private:
    std::uint32_t tasks_on(std::size_t worker) const
    {
        return tasks_that_fit(
            without(m_free[worker], m_forecast.m_excluded[worker]), m_needed);
    }

    std::uint32_t& capacity_around(std::size_t worker)
    {
        return m_task_capacity[m_forecast.m_ranges.range_of(
            m_needed.m_proximity, worker)];
    }

    const release_forecast& m_forecast;
    const shape& m_needed;
    free_table m_free;
    std::vector<std::uint32_t> m_task_capacity;
};

} // namespace

std::optional<reservation>
find_reservation(const release_forecast& forecast, const shape& needed,
                 instant now, std::optional<range_preference> preferred)
{
    release_simulation simulated(forecast, needed);
    std::optional<reservation> best;
    if (auto range = simulated.range_with_capacity(); range.has_value())
    {
        return simulated.make(now, *range);
    }
    for (const expected_release& release : forecast.m_releases)
    {
        if (best.has_value() && !preferred->m_always &&
            release.m_at - now > (best->m_start - now) * 2)
        {
            return best;
        }
        auto range = simulated.add(release);
        if (preferred.has_value() && simulated.has_capacity(preferred->m_range))
        {
            return simulated.make(release.m_at, preferred->m_range);
        }
        if (range.has_value() && !best.has_value())
        {
            best = simulated.make(release.m_at, *range);
            if (!preferred.has_value())
            {
                return best;
            }
        }
    }
    return best;
}

const free_table& capacity_views::for_job_ending(instant end) const
{
    auto after = std::partition_point(m_views.begin(), m_views.end(),
                                      [&](const view& each)
                                      { return each.m_start < end; });
    return after == m_views.begin() ? m_base : std::prev(after)->m_free;
}

void capacity_views::add_reservation(const reservation& added,
                                     instant backfill_until)
{
    auto at = std::partition_point(m_views.begin(), m_views.end(),
                                   [&](const view& each)
                                   { return each.m_start < backfill_until; });
    const free_table& outer =
        at == m_views.begin() ? m_base : std::prev(at)->m_free;
    view inserted{backfill_until, outer};
    at = m_views.insert(at, std::move(inserted));
    for (; at != m_views.end(); ++at)
    {
        for (std::size_t i = 0; i < added.m_placement.size(); ++i)
        {
            const indexed_allocation& part = added.m_placement[i];
            const free_capacity& at_start = added.m_free_at_start[i];
            free_capacity& left = at->m_free[part.m_worker];
            left.m_accelerators &= ~part.m_accelerators;
            left.m_cores =
                std::min(left.m_cores,
                         saturating_subtract(
                             at_start.m_cores,
                             part.m_tasks * added.m_shape.m_cores_per_task));
            left.m_memory_mb = std::min(
                left.m_memory_mb,
                saturating_subtract(at_start.m_memory_mb,
                                    part.m_tasks *
                                        added.m_shape.m_memory_mb_per_task));
        }
    }
}

void capacity_views::subtract_from_all(const shape& needed,
                                       const indexed_placement& where)
{
    subtract_resources(m_base, needed, where);
    for (view& each : m_views)
    {
        subtract_resources(each.m_free, needed, where);
    }
}

} // namespace kingcuprudder
