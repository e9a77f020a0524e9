#include <kingcuprudder/dispatch/worker_index.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

bool room_request::asks_as_much_as(const room_request& other) const
{
    return m_pool == other.m_pool &&
           (other.m_label.empty() || m_label == other.m_label) &&
           m_demand.covers(other.m_demand) && m_count >= other.m_count &&
           (m_one_rack || !other.m_one_rack);
}

void worker_index::add(worker_entry& where)
{
    pool_workers& pool = m_pools[where.m_description.m_pool];
    pool.m_all.push_back(&where);
    pool.m_racks[where.m_description.m_rack].push_back(&where);
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

bool worker_index::known_to_fail(const room_request& request) const
{
    return std::any_of(m_failures.begin(), m_failures.end(),
                       [&request](const room_request& failed)
                       { return request.asks_as_much_as(failed); });
}

void worker_index::note_failure(const room_request& request)
{
    std::erase_if(m_failures, [&request](const room_request& failed)
                  { return failed.asks_as_much_as(request); });
    m_failures.push_back(request);
}

void worker_index::forget_failures()
{
    m_failures.clear();
}

} // namespace kingcuprudder::dispatch
