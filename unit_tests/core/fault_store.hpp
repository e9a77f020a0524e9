#ifndef KINGCUPRUDDER_UNIT_TESTS_FAULT_STORE_HPP
#define KINGCUPRUDDER_UNIT_TESTS_FAULT_STORE_HPP

#include "fault_event_queue.hpp"
#include <kingcuprudder/region/owner_io.hpp>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// An in-memory key-value store with compare-and-swap and leases, which can
/// inject the faults of the platform's store.
class fault_store
{
public:
    using answer_hook = std::function<void(store_answer)>;
    using change_hook = std::function<void(const std::string& key)>;

    fault_store(fault_event_queue& queue, std::uint64_t seed);

    /// Applies a call after the network latency and answers it later.
    void call(const store_call& request, answer_hook answer);

    /// The current value of a key.
    store_value read(const std::string& key);

    /// The number of keys below a prefix.
    std::size_t count(const std::string& prefix) const;

    /// Sets the hook that is called when the watch delivers a change or
    /// deletion of a key.
    void on_change(change_hook hook) { m_on_change = std::move(hook); }

    void set_down_until(instant until);
    void set_slow_until(instant until) { m_slow_until = until; }

    /// Lets the next writes take effect but loses their answers.
    void lose_answers(int writes) { m_lost_answers += writes; }

    /// Lets the next writes take effect only after store_failed was reported to
    /// their caller.
    void delay_writes(int writes) { m_delayed_writes += writes; }

    std::uint64_t calls() const { return m_calls; }
    const std::vector<instant>& call_times() const { return m_call_times; }

private:
    struct entry
    {
        std::string m_value;
        store_revision m_revision = 0;
        std::string m_lease;
    };

    struct lease
    {
        instant m_expires;
        span m_time_to_live;
    };

    bool down() const { return m_queue.now() < m_down_until; }
    span latency();
    bool is_write(const store_call& request) const;
    decltype(store_answer::m_outcome) apply(const store_call& request);
    decltype(store_answer::m_outcome) apply_one(const store_get& operation);
    decltype(store_answer::m_outcome) apply_one(const store_put& operation);
    decltype(store_answer::m_outcome) apply_one(const store_delete& operation);
    decltype(store_answer::m_outcome) apply_one(const lease_grant& operation);
    decltype(store_answer::m_outcome) apply_one(const lease_renew& operation);
    void watch_lease(const std::string& id);
    void expire_lease(const std::string& id);
    void notify(const std::string& key);

    fault_event_queue& m_queue;
    std::mt19937_64 m_random;
    std::map<std::string, entry> m_entries;
    std::map<std::string, lease> m_leases;
    store_revision m_revision = 0;
    std::uint64_t m_last_lease = 0;
    instant m_down_until;
    instant m_slow_until;
    int m_lost_answers = 0;
    int m_delayed_writes = 0;
    std::uint64_t m_calls = 0;
    std::vector<instant> m_call_times;
    change_hook m_on_change;
};

} // namespace kingcuprudder

#endif
