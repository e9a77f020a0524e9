#include <kingcuprudder/dispatch/worker_index.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

bool capacity_request::demands_at_least(const capacity_request& other) const
{
    return m_pool == other.m_pool &&
           (other.m_label.empty() || m_label == other.m_label) &&
           m_demand.covers(other.m_demand) && m_count >= other.m_count &&
           (m_one_rack || !other.m_one_rack);
}

void worker_index::add(worker_entry& worker)
{
    pool_workers& pool = m_pools[worker.m_description.m_pool];
    pool.m_all.push_back(&worker);
    pool.m_racks[worker.m_description.m_rack].push_back(&worker);
    worker.m_indexed_gpus = worker.plannable_capacity().m_gpus;
    pool.m_by_gpus[worker.m_indexed_gpus].push_back(&worker);
}

void worker_index::update(worker_entry& worker)
{
    const std::int64_t gpus = worker.plannable_capacity().m_gpus;
    const auto pool = m_pools.find(worker.m_description.m_pool);
    if (worker.m_indexed_gpus == gpus || pool == m_pools.end())
    {
        return;
    }
    const auto before = [](const worker_entry* left, const worker_entry* right)
    { return left->id() < right->id(); };
    workers& old_group = pool->second.m_by_gpus[worker.m_indexed_gpus];
    const auto known =
        std::lower_bound(old_group.begin(), old_group.end(), &worker, before);
    if (known == old_group.end() || *known != &worker)
    {
        return; // Not usable in this pass.
    }
    old_group.erase(known);
    workers& group = pool->second.m_by_gpus[gpus];
    group.insert(std::lower_bound(group.begin(), group.end(), &worker, before),
                 &worker);
    worker.m_indexed_gpus = gpus;
}

const worker_index::workers_by_gpus&
worker_index::by_gpus(const std::string& pool) const
{
    static const workers_by_gpus none;
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second.m_by_gpus;
}

const worker_index::workers& worker_index::pool(const std::string& name) const
{
    static const workers none;
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? none : found->second.m_all;
}

const std::map<std::string, worker_index::workers>&
worker_index::racks(const std::string& pool) const
{
    static const std::map<std::string, workers> none;
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? none : found->second.m_racks;
}

bool worker_index::has_failed(const capacity_request& request) const
{
    return std::any_of(m_failures.begin(), m_failures.end(),
                       [&request](const capacity_request& failed)
                       { return request.demands_at_least(failed); });
}

void worker_index::record_failure(const capacity_request& request)
{
    std::erase_if(m_failures, [&request](const capacity_request& failed)
                  { return failed.demands_at_least(request); });
    m_failures.push_back(request);
}

void worker_index::clear_failures()
{
    m_failures.clear();
}

} // namespace kingcuprudder::dispatch
