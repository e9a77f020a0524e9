#include "backfill_baseline.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace kingcuprudder
{

namespace
{

std::int64_t count_free(const free_table& table)
{
    std::int64_t sum = 0;
    for (const free_capacity& each : table)
    {
        sum += std::popcount(each.m_accelerators);
    }
    return sum;
}

/// The start time reserved for the head of the queue, and the number of
/// accelerators that other jobs may use beyond that time.
struct count_reservation
{
    instant m_start;
    std::int64_t m_spare_accelerators = 0;
};

count_reservation reserve_count(const std::vector<running_job>& running,
                                std::int64_t free, std::int64_t needed,
                                instant now)
{
    std::vector<std::pair<instant, std::int64_t>> ends;
    for (const running_job& each : running)
    {
        instant end = each.m_placed_at + each.m_spec.m_declared_run_time -
                      each.m_saved_run_time;
        ends.emplace_back(std::max(end, now),
                          each.m_spec.m_shape.accelerators());
    }
    std::sort(ends.begin(), ends.end());
    instant start = now;
    for (const auto& [end, count] : ends)
    {
        if (free >= needed)
        {
            break;
        }
        free += count;
        start = end;
    }
    return {start, std::max<std::int64_t>(0, free - needed)};
}

} // namespace

void backfill_baseline::configure(const effective_settings& /*settings*/,
                                  const cluster& region,
                                  const std::vector<running_job>& /*running*/)
{
    m_ranges = worker_ranges(region);
}

std::optional<std::string>
backfill_baseline::never_fits(const cluster& region, const job_spec& spec) const
{
    return reason_never_fits(total_resources(region), m_ranges, spec.m_shape,
                             "the whole topology");
}

plan backfill_baseline::make_plan(const cluster& region,
                                  const std::vector<queued_job>& queue,
                                  const std::vector<running_job>& running,
                                  instant now)
{
    std::vector<queued_job> order = queue;
    std::sort(order.begin(), order.end(),
              [](const queued_job& left, const queued_job& right)
              {
                  return std::tie(left.m_accepted_at, left.m_spec.m_key) <
                         std::tie(right.m_accepted_at, right.m_spec.m_key);
              });
    plan result;
    free_table table = free_resources(region);
    std::optional<count_reservation> held;
    for (const queued_job& job : order)
    {
        const shape& needed = job.m_spec.m_shape;
        std::int64_t count = needed.accelerators();
        bool early = held.has_value() &&
                     now + job.m_spec.m_declared_run_time <= held->m_start;
        bool allowed =
            !held.has_value() || early || count <= held->m_spare_accelerators;
        auto where = allowed ? first_fit(table, m_ranges, needed)
                             : std::optional<indexed_placement>();
        if (where.has_value())
        {
            subtract_resources(table, needed, *where);
            result.m_placements.push_back(
                {job.m_spec.m_key, to_placement(region, *where)});
            if (held.has_value() && !early)
            {
                held->m_spare_accelerators -= count;
            }
        }
        else if (!held.has_value())
        {
            held = reserve_count(running, count_free(table), count, now);
        }
    }
    return result;
}

} // namespace kingcuprudder
