#include <kingcuprudder/placement/first_fit_policy.hpp>

#include <algorithm>
#include <tuple>

namespace kingcuprudder
{

namespace
{

std::vector<const queued_job*>
arrival_order(const std::vector<queued_job>& queue)
{
    std::vector<const queued_job*> order;
    order.reserve(queue.size());
    for (const queued_job& each : queue)
    {
        order.push_back(&each);
    }
    std::sort(order.begin(), order.end(),
              [](const queued_job* left, const queued_job* right)
              {
                  return std::tie(left->m_accepted_at, left->m_spec.m_key) <
                         std::tie(right->m_accepted_at, right->m_spec.m_key);
              });
    return order;
}

/// First fit that skips the job's excluded workers.
std::optional<indexed_placement> find_placement(const cluster& region,
                                                const free_table& table,
                                                const worker_ranges& ranges,
                                                const queued_job& job)
{
    if (job.m_excluded_workers.empty())
    {
        return first_fit(table, ranges, job.m_spec.m_shape);
    }
    free_table allowed = table;
    for (const worker_id& id : job.m_excluded_workers)
    {
        std::size_t index = region.index_of(id);
        if (index < allowed.size())
        {
            allowed[index] = {};
        }
    }
    return first_fit(allowed, ranges, job.m_spec.m_shape);
}

} // namespace

void first_fit_policy::configure(const effective_settings& /*settings*/,
                                 const cluster& region,
                                 const std::vector<running_job>& /*running*/)
{
    m_ranges = worker_ranges(region);
}

std::optional<std::string>
first_fit_policy::never_fits(const cluster& region, const job_spec& spec) const
{
    return reason_never_fits(total_resources(region), m_ranges, spec.m_shape,
                             "the whole topology");
}

plan first_fit_policy::make_plan(const cluster& region,
                                 const std::vector<queued_job>& queue,
                                 const std::vector<running_job>& /*running*/,
                                 instant /*now*/)
{
    plan result;
    free_table table = free_resources(region);
    for (const queued_job* job : arrival_order(queue))
    {
        const shape& needed = job->m_spec.m_shape;
        auto where = find_placement(region, table, m_ranges, *job);
        if (where.has_value())
        {
            subtract_resources(table, needed, *where);
            result.m_placements.push_back(
                {job->m_spec.m_key, to_placement(region, *where)});
        }
        else
        {
            result.m_wait_reasons.push_back({job->m_spec.m_key,
                                             "waits for " + describe(needed),
                                             instant()});
        }
    }
    return result;
}

} // namespace kingcuprudder
