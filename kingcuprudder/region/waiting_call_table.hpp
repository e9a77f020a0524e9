#ifndef KINGCUPRUDDER_REGION_WAITING_CALL_TABLE_HPP
#define KINGCUPRUDDER_REGION_WAITING_CALL_TABLE_HPP

#include <kingcuprudder/region/scheduler_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// Callers' calls that cannot be answered immediately, indexed by the key that
/// they wait for. Each is answered exactly once.
template <class Key>
class waiting_call_table
{
public:
    /// One waiting call.
    struct waiting_call
    {
        call_number m_call = 0;
        Key m_key;
        instant m_expires; ///< Zero for a call that waits without a limit.
        /// Whether it waits only for a record to be committed.
        bool m_for_record = false;
    };

    void add(waiting_call call)
    {
        if (call.m_expires != instant())
        {
            m_expiry.emplace(call.m_expires, call.m_call);
        }
        m_by_key[call.m_key].insert(call.m_call);
        m_calls.emplace(call.m_call, std::move(call));
    }

    /// Removes and returns all calls that wait for a key.
    std::vector<waiting_call> take(const Key& key)
    {
        return take_if(key, [](const waiting_call&) { return true; });
    }

    /// Removes and returns the calls that wait only for a record of the key.
    std::vector<waiting_call> take_for_record(const Key& key)
    {
        return take_if(key, [](const waiting_call& call)
                       { return call.m_for_record; });
    }

    /// Removes and returns the calls that have expired.
    std::vector<waiting_call> take_expired(instant now)
    {
        std::vector<waiting_call> taken;
        while (!m_expiry.empty() && m_expiry.begin()->first <= now)
        {
            taken.push_back(remove(m_expiry.begin()->second));
        }
        return taken;
    }

    std::vector<waiting_call> take_all()
    {
        std::vector<waiting_call> taken;
        while (!m_calls.empty())
        {
            taken.push_back(remove(m_calls.begin()->first));
        }
        return taken;
    }

    /// Removes the time limit of calls that wait for a record of the key.
    void remove_time_limits(const Key& key)
    {
        auto found = m_by_key.find(key);
        if (found == m_by_key.end())
        {
            return;
        }
        for (call_number each : found->second)
        {
            waiting_call& call = m_calls.at(each);
            if (call.m_for_record)
            {
                m_expiry.erase({call.m_expires, each});
                call.m_expires = instant();
                call.m_for_record = false;
            }
        }
    }

    bool waits_for(const Key& key) const { return m_by_key.contains(key); }

    std::size_t size() const { return m_calls.size(); }

private:
    template <class Predicate>
    std::vector<waiting_call> take_if(const Key& key, Predicate wanted)
    {
        std::vector<waiting_call> taken;
        auto found = m_by_key.find(key);
        if (found == m_by_key.end())
        {
            return taken;
        }
        const std::set<call_number> calls = found->second;
        for (call_number each : calls)
        {
            if (wanted(m_calls.at(each)))
            {
                taken.push_back(remove(each));
            }
        }
        return taken;
    }

    waiting_call remove(call_number number)
    {
        auto found = m_calls.find(number);
        waiting_call call = std::move(found->second);
        m_calls.erase(found);
        m_expiry.erase({call.m_expires, number});
        auto by_key = m_by_key.find(call.m_key);
        by_key->second.erase(number);
        if (by_key->second.empty())
        {
            m_by_key.erase(by_key);
        }
        return call;
    }

    std::map<call_number, waiting_call> m_calls;
    std::map<Key, std::set<call_number>> m_by_key;
    std::set<std::pair<instant, call_number>> m_expiry;
};

/// Time for which a call waits for the store before it is answered with
/// store_unavailable.
inline constexpr span record_wait_limit = span::seconds(1);

} // namespace kingcuprudder

#endif
