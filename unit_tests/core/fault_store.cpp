#include "fault_store.hpp"

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr std::int64_t min_latency_ms = 1;
constexpr std::int64_t max_latency_ms = 4;
constexpr span slow_latency(1500);
constexpr span call_timeout = span::seconds(1);
constexpr span write_delay = span::seconds(2);

} // namespace

fault_store::fault_store(fault_event_queue& queue, std::uint64_t seed)
    : m_queue(queue), m_random(seed)
{
}

void fault_store::call(const store_call& request, answer_hook answer)
{
    ++m_calls;
    m_call_times.push_back(m_queue.now());
    const auto fail = [request, answer] {
        answer({request.m_call, store_failed()});
    };
    m_queue.after(
        latency(),
        [this, request, answer, fail]
        {
            if (down())
            {
                m_queue.after(call_timeout, fail);
                return;
            }
            if (is_write(request) && m_delayed_writes > 0)
            {
                --m_delayed_writes;
                m_queue.after(call_timeout, fail);
                m_queue.after(write_delay, [this, request] { apply(request); });
                return;
            }
            const store_answer outcome{request.m_call, apply(request)};
            if (is_write(request) && m_lost_answers > 0)
            {
                --m_lost_answers;
                m_queue.after(call_timeout, fail);
                return;
            }
            m_queue.after(latency(), [answer, outcome] { answer(outcome); });
        });
}

store_value fault_store::read(const std::string& key)
{
    auto found = m_entries.find(key);
    return found == m_entries.end()
               ? store_value()
               : store_value{found->second.m_value, found->second.m_revision};
}

std::size_t fault_store::count(const std::string& prefix) const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(),
        [&](const auto& each) { return each.first.starts_with(prefix); }));
}

void fault_store::set_down_until(instant until)
{
    m_down_until = std::max(m_down_until, until);
}

span fault_store::latency()
{
    std::uniform_int_distribution<std::int64_t> pick(min_latency_ms,
                                                     max_latency_ms);
    const span usual(pick(m_random));
    return m_queue.now() < m_slow_until ? usual + slow_latency / 2 : usual;
}

bool fault_store::is_write(const store_call& request) const
{
    return std::holds_alternative<store_put>(request.m_operation) ||
           std::holds_alternative<store_delete>(request.m_operation);
}

decltype(store_answer::m_outcome) fault_store::apply(const store_call& request)
{
    return std::visit([this](const auto& each) { return apply_one(each); },
                      request.m_operation);
}

decltype(store_answer::m_outcome)
fault_store::apply_one(const store_get& operation)
{
    return read(operation.m_key);
}

decltype(store_answer::m_outcome)
fault_store::apply_one(const store_put& operation)
{
    const store_revision present = read(operation.m_key).m_revision;
    if (present != operation.m_expected)
    {
        return store_conflict{present};
    }
    if (!operation.m_lease.empty() && !m_leases.contains(operation.m_lease))
    {
        return lease_lapsed();
    }
    m_entries[operation.m_key] = {operation.m_value, ++m_revision,
                                  operation.m_lease};
    notify(operation.m_key);
    return store_written{m_revision};
}

decltype(store_answer::m_outcome)
fault_store::apply_one(const store_delete& operation)
{
    const store_revision present = read(operation.m_key).m_revision;
    if (present != operation.m_expected)
    {
        return store_conflict{present};
    }
    m_entries.erase(operation.m_key);
    notify(operation.m_key);
    return store_written{++m_revision};
}

decltype(store_answer::m_outcome)
fault_store::apply_one(const lease_grant& operation)
{
    const std::string id = "lease-" + std::to_string(++m_last_lease);
    m_leases[id] = {m_queue.now() + operation.m_time_to_live,
                    operation.m_time_to_live};
    watch_lease(id);
    return lease_granted{id};
}

decltype(store_answer::m_outcome)
fault_store::apply_one(const lease_renew& operation)
{
    auto found = m_leases.find(operation.m_lease);
    if (found == m_leases.end())
    {
        return lease_lapsed();
    }
    found->second.m_expires = m_queue.now() + found->second.m_time_to_live;
    return lease_granted{operation.m_lease};
}

void fault_store::watch_lease(const std::string& id)
{
    m_queue.after(m_leases[id].m_expires - m_queue.now(),
                  [this, id]
                  {
                      if (m_leases[id].m_expires <= m_queue.now())
                      {
                          expire_lease(id);
                          return;
                      }
                      watch_lease(id);
                  });
}

void fault_store::expire_lease(const std::string& id)
{
    m_leases.erase(id);
    for (auto each = m_entries.begin(); each != m_entries.end();)
    {
        if (each->second.m_lease != id)
        {
            ++each;
            continue;
        }
        const std::string key = each->first;
        each = m_entries.erase(each);
        ++m_revision;
        notify(key);
    }
}

void fault_store::notify(const std::string& key)
{
    const span wait = down() ? m_down_until - m_queue.now() : span();
    m_queue.after(wait + latency(),
                  [this, key]
                  {
                      if (down())
                      {
                          notify(key);
                      }
                      else if (m_on_change)
                      {
                          m_on_change(key);
                      }
                  });
}

} // namespace kingcuprudder
