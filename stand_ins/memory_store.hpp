#ifndef STAND_INS_MEMORY_STORE_HPP
#define STAND_INS_MEMORY_STORE_HPP

#include <kingcuprudder/node/record_store.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace kingcuprudder::stand_ins
{

/// An in-memory store with the semantics of the platform's store: conditional
/// transactions, leases, and watches with a history. Safe to use from several
/// threads.
class memory_store final : public node::record_store
{
public:
    /// A fault to inject into a call. Only commits distinguish the kinds; any
    /// other call fails without effect.
    enum class fault
    {
        none,
        refuse,      ///< Not applied; the call fails with not_done.
        lose_answer, ///< Applied, but the call fails with unknown.
        lose_call,   ///< Not applied; the call fails with unknown.
    };
    using fault_hook = std::function<fault(const std::string& call)>;

    /// Sets a function that gets the name of each call, such as "commit", and
    /// returns the fault to inject. An empty function injects none.
    void set_fault_hook(fault_hook hook);
    /// Discards the history: watches from an earlier revision fail as compacted
    /// and must list again.
    void compact();

    node::store_result<std::optional<node::record>> read(const std::string& key,
                                                         span timeout) override;
    node::store_result<node::record_list> list(const std::string& prefix,
                                               span timeout) override;
    node::store_result<node::record_changes> watch(const std::string& prefix,
                                                   std::int64_t after,
                                                   span wait,
                                                   span timeout) override;
    node::store_result<node::commit_answer>
    commit(const node::store_transaction& transaction, span timeout) override;
    node::store_result<std::int64_t> grant_lease(span time_to_live,
                                                 span timeout) override;
    node::store_result<std::monostate> renew_lease(std::int64_t lease,
                                                   span timeout) override;
    void revoke_lease(std::int64_t lease, span timeout) override;

private:
    struct item
    {
        std::string m_value;
        std::int64_t m_revision = 0;
        std::int64_t m_lease = 0;
    };
    struct lease
    {
        span m_time_to_live;
        instant m_expires_at;
    };

    fault next_fault(const std::string& call);
    /// Removes the leases that have expired.
    void expire_leases();
    /// Removes a lease and the items that are bound to it.
    void remove_lease(std::int64_t id);
    /// Adds a change to the history and wakes the watches.
    void record_change(const std::string& key, bool removed);
    node::commit_answer apply(const node::store_transaction& transaction);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::int64_t, lease> m_leases;
    std::map<std::int64_t, node::record_changes> m_history;
    std::int64_t m_revision = 1;
    /// The lowest revision in the history.
    std::int64_t m_first_retained_revision = 1;
    std::int64_t m_last_lease = 0;
    fault_hook m_fault_hook;
};

} // namespace kingcuprudder::stand_ins

#endif
