#include <kingcuprudder/node/read_latency.hpp>

#include <algorithm>

namespace kingcuprudder::node
{

namespace
{

// An expected time that no answer confirms falls by one part in so many.
constexpr std::int64_t latency_decay = 8;
constexpr span min_watch_wait = span(50);
// Time for the answer of a watch call after its wait.
constexpr span watch_margin = span(700);

} // namespace

void read_latency::observe(span took, bool answered)
{
    const std::int64_t before = m_expected_ms;
    const std::int64_t faded = before - before / latency_decay;
    m_expected_ms = std::max(took.count(), answered ? faded : before);
}

span wait_with_latency(span wait, const read_latency& latency)
{
    return std::max(min_watch_wait, wait - latency.expected());
}

span watch_timeout(span wait)
{
    return wait + watch_margin;
}

} // namespace kingcuprudder::node
