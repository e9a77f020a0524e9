#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/metered_store.hpp>

namespace kingcuprudder::node
{

namespace
{

/// Makes a call and records its result and latency.
template <class Call>
auto metered(const call_metrics& metrics, const Call& call)
{
    const instant began = boottime_now();
    auto outcome = call();
    metrics.m_latency_ms.observe(
        static_cast<double>((boottime_now() - began).count()));
    (is_ok(outcome) ? metrics.m_answered : metrics.m_failed).increment();
    return outcome;
}

} // namespace

metered_store::metered_store(record_store& inner, node_metrics& metrics)
    : m_inner(inner), m_read(metrics.calls("store", "read")),
      m_list(metrics.calls("store", "list")),
      m_watch(metrics.calls("store", "watch")),
      m_commit(metrics.calls("store", "commit")),
      m_grant(metrics.calls("store", "grant_lease")),
      m_renew(metrics.calls("store", "renew_lease"))
{
}

store_result<std::optional<record>> metered_store::read(const std::string& key,
                                                        span timeout)
{
    return metered(m_read, [&] { return m_inner.read(key, timeout); });
}

store_result<record_list> metered_store::list(const std::string& prefix,
                                              span timeout)
{
    return metered(m_list, [&] { return m_inner.list(prefix, timeout); });
}

store_result<record_changes> metered_store::watch(const std::string& prefix,
                                                  std::int64_t after, span wait,
                                                  span timeout)
{
    return metered(m_watch,
                   [&] { return m_inner.watch(prefix, after, wait, timeout); });
}

store_result<commit_answer>
metered_store::commit(const store_transaction& transaction, span timeout)
{
    return metered(m_commit,
                   [&] { return m_inner.commit(transaction, timeout); });
}

store_result<std::int64_t> metered_store::grant_lease(span time_to_live,
                                                      span timeout)
{
    return metered(m_grant,
                   [&] { return m_inner.grant_lease(time_to_live, timeout); });
}

store_result<std::monostate> metered_store::renew_lease(std::int64_t lease,
                                                        span timeout)
{
    return metered(m_renew,
                   [&] { return m_inner.renew_lease(lease, timeout); });
}

void metered_store::revoke_lease(std::int64_t lease, span timeout)
{
    m_inner.revoke_lease(lease, timeout);
}

} // namespace kingcuprudder::node
