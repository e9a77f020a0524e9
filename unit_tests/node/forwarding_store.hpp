#ifndef UNIT_TESTS_NODE_FORWARDING_STORE_HPP
#define UNIT_TESTS_NODE_FORWARDING_STORE_HPP

#include <kingcuprudder/node/record_store.hpp>

#include <string>

namespace kingcuprudder::node
{

/// Passes all calls on to another store. Tests override what shall differ.
class forwarding_store : public record_store
{
public:
    explicit forwarding_store(record_store& inner) : m_inner(inner) {}

    store_result<std::optional<record>> read(const std::string& key,
                                             span timeout) override
    {
        return m_inner.read(key, timeout);
    }
    store_result<record_list> list(const std::string& prefix,
                                   span timeout) override
    {
        return m_inner.list(prefix, timeout);
    }
    store_result<record_changes> watch(const std::string& prefix,
                                       std::int64_t after, span wait,
                                       span timeout) override
    {
        return m_inner.watch(prefix, after, wait, timeout);
    }
    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span timeout) override
    {
        return m_inner.commit(transaction, timeout);
    }
    store_result<std::int64_t> grant_lease(span time_to_live,
                                           span timeout) override
    {
        return m_inner.grant_lease(time_to_live, timeout);
    }
    store_result<std::monostate> renew_lease(std::int64_t lease,
                                             span timeout) override
    {
        return m_inner.renew_lease(lease, timeout);
    }
    void revoke_lease(std::int64_t lease, span timeout) override
    {
        m_inner.revoke_lease(lease, timeout);
    }

private:
    record_store& m_inner;
};

} // namespace kingcuprudder::node

#endif
