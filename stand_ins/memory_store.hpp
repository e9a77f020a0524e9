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

/// A store in memory with the semantics of the platform's: transactions under
/// conditions, leases, watches with a history. Safe to use from several
/// threads.
class memory_store final : public node::record_store
{
public:
    /// What a call meets before it is carried out.
    enum class fault
    {
        none,
        refuse,      ///< Nothing is done.
        lose_answer, ///< Done, but the answer is lost.
        lose_call,   ///< Not done, and the caller cannot tell.
    };
    using fault_hook = std::function<fault(const std::string& call)>;

    /// Asked before each call, with its kind, as "commit".
    void set_fault_hook(fault_hook hook);
    /// Drops the history, so that waiting watches must list again.
    void compact();

    node::store_result<std::optional<node::record>> read(const std::string& key,
                                                         span timeout) override;
    node::store_result<node::record_list> list(const std::string& prefix,
                                               span timeout) override;
    node::store_result<node::record_changes>
    watch(const std::string& prefix, std::int64_t after, span wait) override;
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
        instant m_ends_at;
    };

    fault next_fault(const std::string& call);
    void expire();
    void remove_lease(std::int64_t id);
    void note_change(const std::string& key, bool removed);
    node::commit_answer apply(const node::store_transaction& transaction);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::map<std::int64_t, lease> m_leases;
    std::map<std::int64_t, node::record_changes> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_oldest = 1;
    std::int64_t m_last_lease = 0;
    fault_hook m_fault;
};

} // namespace kingcuprudder::stand_ins

#endif
