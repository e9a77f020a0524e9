#include <kingcuprudder/runtime/steady_time.hpp>

#include <stand_ins/store_data.hpp>

#include <algorithm>
#include <chrono>

namespace kingcuprudder::stand_ins
{

std::optional<store_value> store_data::get(const std::string& key)
{
    std::unique_lock lock(m_mutex);
    remove_expired(lock);
    const auto found = m_entries.find(key);
    if (found == m_entries.end() || found->second.m_deleted)
    {
        return std::nullopt;
    }
    return found->second.m_value;
}

store_data::write_result store_data::put(const std::string& key,
                                         std::string value,
                                         store_revision expected,
                                         const std::string& lease)
{
    std::unique_lock lock(m_mutex);
    remove_expired(lock);
    const auto found = m_entries.find(key);
    const bool present = found != m_entries.end() && !found->second.m_deleted;
    const store_revision current =
        present ? found->second.m_value.m_revision : 0;
    if (current != expected)
    {
        return {write_outcome::conflict, current};
    }
    if (!lease.empty() && !m_leases.contains(lease))
    {
        return {write_outcome::lease_expired, current};
    }
    m_entries[key] = entry{{std::move(value), ++m_revision}, lease, false};
    m_changed.notify_all();
    return {write_outcome::written, m_revision};
}

store_data::write_result store_data::remove(const std::string& key,
                                            store_revision expected)
{
    std::unique_lock lock(m_mutex);
    remove_expired(lock);
    const auto found = m_entries.find(key);
    const bool present = found != m_entries.end() && !found->second.m_deleted;
    const store_revision current =
        present ? found->second.m_value.m_revision : 0;
    if (current != expected)
    {
        return {write_outcome::conflict, current};
    }
    if (present)
    {
        found->second = entry{{"", ++m_revision}, "", true};
        m_changed.notify_all();
    }
    return {write_outcome::written, m_revision};
}

std::string store_data::grant(span time_to_live)
{
    std::unique_lock lock(m_mutex);
    std::string id = "lease-" + std::to_string(++m_last_lease);
    m_leases[id] =
        lease_entry{time_to_live, steady_milliseconds() + time_to_live.count()};
    // Waiting watches recompute the time of the next expiry.
    m_changed.notify_all();
    return id;
}

bool store_data::renew(const std::string& lease)
{
    std::unique_lock lock(m_mutex);
    remove_expired(lock);
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
    {
        return false;
    }
    found->second.m_expires =
        steady_milliseconds() + found->second.m_time_to_live.count();
    return true;
}

bool store_data::revoke(const std::string& lease)
{
    std::unique_lock lock(m_mutex);
    remove_expired(lock);
    if (m_leases.erase(lease) == 0)
    {
        return false;
    }
    delete_keys_of(lease);
    return true;
}

watch_batch store_data::watch(const std::string& prefix, store_revision after,
                              span wait)
{
    std::unique_lock lock(m_mutex);
    const std::int64_t until = steady_milliseconds() + wait.count();
    for (;;)
    {
        remove_expired(lock);
        watch_batch batch = changes(prefix, after);
        const std::int64_t now = steady_milliseconds();
        if (after == 0 || !batch.m_events.empty() || now >= until || m_stopped)
        {
            return batch;
        }
        const std::int64_t sleep = std::min(until, next_expiry()) - now;
        m_changed.wait_for(
            lock, std::chrono::milliseconds(std::max<std::int64_t>(sleep, 1)));
    }
}

void store_data::stop_watches()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
}

void store_data::remove_expired(std::unique_lock<std::mutex>&)
{
    const std::int64_t now = steady_milliseconds();
    for (auto it = m_leases.begin(); it != m_leases.end();)
    {
        if (it->second.m_expires > now)
        {
            ++it;
            continue;
        }
        const std::string id = it->first;
        it = m_leases.erase(it);
        delete_keys_of(id);
    }
}

void store_data::delete_keys_of(const std::string& lease_id)
{
    for (auto& [key, each] : m_entries)
    {
        if (!each.m_deleted && each.m_lease == lease_id)
        {
            each = entry{{"", ++m_revision}, "", true};
        }
    }
    m_changed.notify_all();
}

std::int64_t store_data::next_expiry() const
{
    std::int64_t next = INT64_MAX;
    for (const auto& [id, each] : m_leases)
    {
        next = std::min(next, each.m_expires);
    }
    return next;
}

watch_batch store_data::changes(const std::string& prefix,
                                store_revision after) const
{
    watch_batch batch;
    batch.m_revision = m_revision;
    for (auto it = m_entries.lower_bound(prefix);
         it != m_entries.end() && it->first.starts_with(prefix); ++it)
    {
        const entry& each = it->second;
        const bool wanted =
            after == 0 ? !each.m_deleted : each.m_value.m_revision > after;
        if (wanted)
        {
            batch.m_events.push_back({it->first, each.m_value.m_value,
                                      each.m_value.m_revision, each.m_deleted});
        }
    }
    std::sort(batch.m_events.begin(), batch.m_events.end(),
              [](const watch_event& left, const watch_event& right)
              { return left.m_revision < right.m_revision; });
    return batch;
}

} // namespace kingcuprudder::stand_ins
