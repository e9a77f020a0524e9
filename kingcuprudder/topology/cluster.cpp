#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/topology/cluster.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr std::uint32_t max_accelerators_per_worker = 64;

std::uint64_t full_mask(std::uint32_t count)
{
    KCR_ASSERT(count <= max_accelerators_per_worker);
    return count == max_accelerators_per_worker
               ? ~std::uint64_t{0}
               : (std::uint64_t{1} << count) - 1;
}

} // namespace

cluster::cluster(std::vector<worker> workers)
    : m_workers(std::move(workers)), m_usable(m_workers.size(), true)
{
    std::sort(m_workers.begin(), m_workers.end(),
              [](const worker& left, const worker& right)
              {
                  return std::tie(left.m_zone, left.m_rack, left.m_id) <
                         std::tie(right.m_zone, right.m_rack, right.m_id);
              });
    for (const worker& each : m_workers)
    {
        m_index.emplace(each.m_id, m_free.size());
        m_free.push_back(
            {full_mask(each.m_accelerators), each.m_cores, each.m_memory_mb});
    }
    KCR_ASSERT(m_index.size() == m_workers.size());
}

std::size_t cluster::index_of(const worker_id& id) const
{
    auto found = m_index.find(id);
    return found == m_index.end() ? m_workers.size() : found->second;
}

void cluster::set_usable(const worker_id& id, bool usable)
{
    std::size_t index = index_of(id);
    if (index < m_usable.size())
    {
        m_usable[index] = usable;
    }
}

void cluster::allocate(const shape& needed, const placement& where)
{
    KCR_ASSERT(is_free(needed, where));
    for (const allocation& part : where)
    {
        free_capacity& left = m_free[index_of(part.m_worker)];
        left.m_accelerators &= ~part.m_accelerators;
        left.m_cores -= part.m_tasks * needed.m_cores_per_task;
        left.m_memory_mb -= part.m_tasks * needed.m_memory_mb_per_task;
    }
}

void cluster::release(const shape& needed, const placement& where)
{
    for (const allocation& part : where)
    {
        std::size_t index = index_of(part.m_worker);
        if (index == m_workers.size())
        {
            continue;
        }
        free_capacity& left = m_free[index];
        KCR_ASSERT((left.m_accelerators & part.m_accelerators) == 0);
        left.m_accelerators |= part.m_accelerators;
        left.m_cores += part.m_tasks * needed.m_cores_per_task;
        left.m_memory_mb += part.m_tasks * needed.m_memory_mb_per_task;
    }
}

bool cluster::is_free(const shape& needed, const placement& where) const
{
    return std::all_of(
        where.begin(), where.end(),
        [&](const allocation& part)
        {
            std::size_t index = index_of(part.m_worker);
            if (index == m_workers.size())
            {
                return false;
            }
            const free_capacity& left = m_free[index];
            return (left.m_accelerators & part.m_accelerators) ==
                       part.m_accelerators &&
                   left.m_cores >= part.m_tasks * needed.m_cores_per_task &&
                   left.m_memory_mb >=
                       part.m_tasks * needed.m_memory_mb_per_task;
        });
}

} // namespace kingcuprudder
