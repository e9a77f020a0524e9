#include <kingcuprudder/node/clocks.hpp>

#include <stand_ins/memory_store.hpp>

#include <algorithm>
#include <chrono>

namespace kingcuprudder::stand_ins
{

namespace
{

using node::store_failure;

constexpr std::chrono::milliseconds expiry_poll(20);

} // namespace

void memory_store::set_fault_hook(fault_hook hook)
{
    std::lock_guard lock(m_mutex);
    m_fault_hook = std::move(hook);
}

void memory_store::compact()
{
    std::lock_guard lock(m_mutex);
    m_history.clear();
    m_first_retained_revision = m_revision + 1;
    m_changed.notify_all();
}

memory_store::fault memory_store::next_fault(const std::string& call)
{
    return m_fault_hook ? m_fault_hook(call) : fault::none;
}

void memory_store::expire_leases()
{
    const instant now = node::boottime_now();
    std::vector<std::int64_t> ended;
    for (const auto& [id, each] : m_leases)
    {
        if (each.m_expires_at <= now)
        {
            ended.push_back(id);
        }
    }
    for (const std::int64_t id : ended)
    {
        remove_lease(id);
    }
}

void memory_store::remove_lease(std::int64_t id)
{
    m_leases.erase(id);
    for (auto each = m_items.begin(); each != m_items.end();)
    {
        if (each->second.m_lease != id)
        {
            ++each;
            continue;
        }
        const std::string key = each->first;
        each = m_items.erase(each);
        ++m_revision;
        record_change(key, true);
    }
}

void memory_store::record_change(const std::string& key, bool removed)
{
    node::record changed{key, "", m_revision};
    if (!removed)
    {
        changed.m_value = m_items.at(key).m_value;
    }
    m_history[m_revision].m_changes.push_back({changed, removed});
    m_changed.notify_all();
}

node::store_result<std::optional<node::record>>
memory_store::read(const std::string& key, span)
{
    std::lock_guard lock(m_mutex);
    if (next_fault("read") != fault::none)
    {
        return store_failure::not_done;
    }
    expire_leases();
    const auto found = m_items.find(key);
    if (found == m_items.end())
    {
        return std::optional<node::record>();
    }
    return std::optional<node::record>(
        node::record{key, found->second.m_value, found->second.m_revision});
}

node::store_result<node::record_page>
memory_store::list_page(const std::string& prefix, const std::string& after,
                        span)
{
    std::lock_guard lock(m_mutex);
    if (next_fault("list") != fault::none)
    {
        return store_failure::not_done;
    }
    expire_leases();
    node::record_page page;
    page.m_list.m_revision = m_revision;
    for (const auto& [key, each] : m_items)
    {
        if (key.starts_with(prefix) && key > after)
        {
            page.m_list.m_records.push_back(
                {key, each.m_value, each.m_revision});
        }
    }
    return page;
}

node::store_result<node::record_changes>
memory_store::watch(const std::string& prefix, std::int64_t after, span wait,
                    span)
{
    std::unique_lock lock(m_mutex);
    if (next_fault("watch") != fault::none)
    {
        return store_failure::unknown;
    }
    const instant until = node::boottime_now() + wait;
    // The revision up to which no change under the prefix was found.
    std::int64_t searched = after;
    while (true)
    {
        expire_leases();
        if (after + 1 < m_first_retained_revision)
        {
            return store_failure::compacted;
        }
        node::record_changes found;
        found.m_revision = m_revision;
        for (auto each = m_history.upper_bound(searched);
             each != m_history.end(); ++each)
        {
            for (const auto& change : each->second.m_changes)
            {
                if (change.m_record.m_key.starts_with(prefix))
                {
                    found.m_changes.push_back(change);
                }
            }
        }
        if (!found.m_changes.empty() || node::boottime_now() >= until)
        {
            return found;
        }
        searched = m_revision;
        m_changed.wait_for(lock, expiry_poll);
    }
}

node::commit_answer
memory_store::apply(const node::store_transaction& transaction)
{
    node::store_conflict conflict;
    bool conditions_hold = true;
    for (const auto& [key, revision] : transaction.m_expected)
    {
        const auto found = m_items.find(key);
        node::record current{key, "", 0};
        if (found != m_items.end())
        {
            current.m_value = found->second.m_value;
            current.m_revision = found->second.m_revision;
        }
        conditions_hold = conditions_hold && current.m_revision == revision;
        conflict.m_records.push_back(current);
    }
    if (!conditions_hold)
    {
        return conflict;
    }
    ++m_revision;
    for (const node::record_write& write : transaction.m_writes)
    {
        m_items[write.m_key] = {write.m_value, m_revision, write.m_lease};
        record_change(write.m_key, false);
    }
    for (const std::string& key : transaction.m_removals)
    {
        if (m_items.erase(key) > 0)
        {
            record_change(key, true);
        }
    }
    return m_revision;
}

node::store_result<node::commit_answer>
memory_store::commit(const node::store_transaction& transaction, span)
{
    std::lock_guard lock(m_mutex);
    const fault injected = next_fault("commit");
    if (injected == fault::refuse)
    {
        return store_failure::not_done;
    }
    if (injected == fault::lose_call)
    {
        return store_failure::unknown;
    }
    expire_leases();
    for (const node::record_write& write : transaction.m_writes)
    {
        if (write.m_lease != 0 && !m_leases.contains(write.m_lease))
        {
            return store_failure::lease_ended;
        }
        if (write.m_value.size() > node::max_value_bytes)
        {
            return store_failure::refused;
        }
    }
    const node::commit_answer answer = apply(transaction);
    if (injected == fault::lose_answer)
    {
        return store_failure::unknown;
    }
    return answer;
}

node::store_result<std::int64_t> memory_store::grant_lease(span time_to_live,
                                                           span)
{
    std::lock_guard lock(m_mutex);
    if (next_fault("grant_lease") != fault::none)
    {
        return store_failure::not_done;
    }
    ++m_last_lease;
    m_leases[m_last_lease] = {time_to_live,
                              node::boottime_now() + time_to_live};
    return m_last_lease;
}

node::store_result<std::monostate> memory_store::renew_lease(std::int64_t id,
                                                             span)
{
    std::lock_guard lock(m_mutex);
    if (next_fault("renew_lease") != fault::none)
    {
        return store_failure::unknown;
    }
    expire_leases();
    const auto found = m_leases.find(id);
    if (found == m_leases.end())
    {
        return store_failure::lease_ended;
    }
    found->second.m_expires_at =
        node::boottime_now() + found->second.m_time_to_live;
    return std::monostate();
}

void memory_store::revoke_lease(std::int64_t id, span)
{
    std::lock_guard lock(m_mutex);
    remove_lease(id);
}

} // namespace kingcuprudder::stand_ins
