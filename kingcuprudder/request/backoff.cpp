#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/request/backoff.hpp>

#include <algorithm>

namespace kingcuprudder
{

backoff::backoff(span first, span longest, std::uint64_t seed)
    : m_first(first), m_longest(longest), m_ceiling(first), m_random(seed)
{
    KCR_ASSERT(first > span(0) && first <= longest);
}

span backoff::next()
{
    const auto ceiling = static_cast<std::uint64_t>(m_ceiling.count());
    m_ceiling = std::min(m_ceiling * 2, m_longest);
    return span(static_cast<std::int64_t>(1 + m_random() % ceiling));
}

void backoff::reset()
{
    m_ceiling = m_first;
}

} // namespace kingcuprudder
