#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/request/backoff.hpp>

#include <algorithm>

namespace kingcuprudder
{

backoff::backoff(span initial, span max, std::uint64_t seed)
    : m_initial(initial), m_max(max), m_ceiling(initial), m_random(seed)
{
    KCR_ASSERT(initial > span(0) && initial <= max);
}

span backoff::next()
{
    const auto ceiling = static_cast<std::uint64_t>(m_ceiling.count());
    m_ceiling = std::min(m_ceiling * 2, m_max);
    return span(static_cast<std::int64_t>(1 + m_random() % ceiling));
}

void backoff::reset()
{
    m_ceiling = m_initial;
}

} // namespace kingcuprudder
