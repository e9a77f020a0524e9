#ifndef KINGCUPRUDDER_NODE_READ_LATENCY_HPP
#define KINGCUPRUDDER_NODE_READ_LATENCY_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/record_store.hpp>

#include <atomic>
#include <cstdint>

namespace kingcuprudder::node
{

/// Estimates how long the store takes to answer a read, so that a slow store is
/// not asked again before it answers. Safe to use from several threads.
class read_latency
{
public:
    /// Notes a read that was answered, or given up, after this time.
    void observe(span took, bool answered);
    span expected() const { return span(m_expected_ms.load()); }

private:
    std::atomic<std::int64_t> m_expected_ms = 0;
};

/// Makes a call that reads from the store and notes how long that took, unless
/// it was refused.
template <class Call>
auto observed(read_latency& latency, const Call& call)
{
    const instant sent = boottime_now();
    auto found = call();
    if (is_ok(found) || std::get<1>(found) != store_failure::not_done)
    {
        latency.observe(boottime_now() - sent, is_ok(found));
    }
    return found;
}

/// Returns how long a watch call shall wait for changes, in place of `wait`, so
/// that its answer comes about as late as that of a store without latency.
span wait_with_latency(span wait, const read_latency& latency);

/// Returns the timeout of a watch call that would wait for `wait` beside a
/// store without latency.
span watch_timeout(span wait);

} // namespace kingcuprudder::node

#endif
