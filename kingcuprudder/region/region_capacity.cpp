#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/region/region_capacity.hpp>

#include <utility>

namespace kingcuprudder
{

void region_capacity::set_workers(std::vector<worker> workers)
{
    m_cluster = cluster(std::move(workers));
    for (auto& [job, held] : m_holdings)
    {
        take(held);
    }
}

void region_capacity::allocate(const job_key& job, const shape& needed,
                               const placement& where)
{
    auto [position, added] =
        m_holdings.emplace(job, holding{needed, where, {}});
    KCR_ASSERT(added);
    take(position->second);
}

void region_capacity::release(const job_key& job)
{
    auto found = m_holdings.find(job);
    if (found == m_holdings.end())
    {
        return;
    }
    m_cluster.release(found->second.m_shape, found->second.m_taken);
    m_holdings.erase(found);
}

void region_capacity::take(holding& held)
{
    held.m_taken.clear();
    for (const allocation& part : held.m_where)
    {
        // A worker can be missing from the list, or listed with fewer
        // accelerators than before.
        if (m_cluster.is_free(held.m_shape, {part}))
        {
            m_cluster.allocate(held.m_shape, {part});
            held.m_taken.push_back(part);
        }
    }
}

} // namespace kingcuprudder
