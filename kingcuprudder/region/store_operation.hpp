#ifndef KINGCUPRUDDER_REGION_STORE_OPERATION_HPP
#define KINGCUPRUDDER_REGION_STORE_OPERATION_HPP

#include <kingcuprudder/region/owner_io.hpp>

#include <cstdint>
#include <random>
#include <vector>

namespace kingcuprudder
{

/// A store call without its number.
using store_operation = decltype(store_call::m_operation);

/// What a store call led to.
using store_outcome = decltype(store_answer::m_outcome);

/// A store call that a part of the owner wants to make. The tag comes back
/// with the outcome.
struct tagged_operation
{
    std::uint32_t m_tag = 0;
    store_operation m_operation;
};

/// Exponential backoff with full jitter, so that the processes of a region do
/// not return to a recovering store or worker in step.
class retry_backoff
{
public:
    retry_backoff(span first, span longest)
        : m_first(first), m_longest(longest), m_limit(first)
    {
    }

    /// The time to wait before the next try; each call doubles the bound.
    span next(std::mt19937_64& random)
    {
        std::uniform_int_distribution<std::int64_t> pick(1, m_limit.count());
        const span wait(pick(random));
        m_limit = m_limit * 2 < m_longest ? m_limit * 2 : m_longest;
        return wait;
    }

    /// Starts again from the first bound after a success.
    void reset() { m_limit = m_first; }

private:
    span m_first;
    span m_longest;
    span m_limit;
};

/// Bounds for retries of store calls.
inline constexpr span store_retry_first(100);
inline constexpr span store_retry_longest = span::seconds(5);

} // namespace kingcuprudder

#endif
