#ifndef KINGCUPRUDDER_NODE_METERED_STORE_HPP
#define KINGCUPRUDDER_NODE_METERED_STORE_HPP

#include <kingcuprudder/node/node_metrics.hpp>
#include <kingcuprudder/node/record_store.hpp>

namespace kingcuprudder::node
{

/// Forwards calls to another store and records their results and latencies.
class metered_store final : public record_store
{
public:
    metered_store(record_store& inner, node_metrics& metrics);

    store_result<std::optional<record>> read(const std::string& key,
                                             span timeout) override;
    store_result<record_list> list(const std::string& prefix,
                                   span timeout) override;
    store_result<record_changes> watch(const std::string& prefix,
                                       std::int64_t after, span wait,
                                       span timeout) override;
    store_result<commit_answer> commit(const store_transaction& transaction,
                                       span timeout) override;
    store_result<std::int64_t> grant_lease(span time_to_live,
                                           span timeout) override;
    store_result<std::monostate> renew_lease(std::int64_t lease,
                                             span timeout) override;
    void revoke_lease(std::int64_t lease, span timeout) override;

private:
    record_store& m_inner;
    call_metrics& m_read;
    call_metrics& m_list;
    call_metrics& m_watch;
    call_metrics& m_commit;
    call_metrics& m_grant;
    call_metrics& m_renew;
};

} // namespace kingcuprudder::node

#endif
