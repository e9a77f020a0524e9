#include <kingcuprudder/dispatch/service_configuration.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

const queue_configuration*
service_configuration::find_queue(const std::string& host,
                                  const std::string& path) const
{
    const queue_configuration* best = nullptr;
    for (const queue_configuration& queue : m_queues)
    {
        if (queue.m_host == host && path.starts_with(queue.m_path_prefix) &&
            (best == nullptr ||
             queue.m_path_prefix.size() > best->m_path_prefix.size()))
        {
            best = &queue;
        }
    }
    return best;
}

const queue_configuration*
service_configuration::queue_named(const std::string& name) const
{
    const auto found = std::find_if(m_queues.begin(), m_queues.end(),
                                    [&](const queue_configuration& queue)
                                    { return queue.m_name == name; });
    return found == m_queues.end() ? nullptr : &*found;
}

const account_configuration*
service_configuration::account_with_key(const std::string& key) const
{
    for (const account_configuration& account : m_accounts)
    {
        if (std::find(account.m_keys.begin(), account.m_keys.end(), key) !=
            account.m_keys.end())
        {
            return &account;
        }
    }
    return nullptr;
}

} // namespace kingcuprudder::dispatch
