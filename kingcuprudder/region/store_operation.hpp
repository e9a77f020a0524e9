#ifndef KINGCUPRUDDER_REGION_STORE_OPERATION_HPP
#define KINGCUPRUDDER_REGION_STORE_OPERATION_HPP

#include <kingcuprudder/region/owner_io.hpp>

#include <cstdint>
#include <random>
#include <vector>

namespace kingcuprudder
{

/// The operation of a store call, without the call number.
using store_operation = decltype(store_call::m_operation);

/// The outcome of a store call.
using store_outcome = decltype(store_answer::m_outcome);

/// A store call requested by a part of the owner. The tag is returned with the
/// outcome.
struct tagged_operation
{
    std::uint32_t m_tag = 0;
    store_operation m_operation;
};

/// Exponential backoff with full jitter, so that the processes of a region do
/// not retry against a recovering store or worker at the same time.
class retry_backoff
{
public:
    retry_backoff(span initial, span max)
        : m_initial(initial), m_max(max), m_limit(initial)
    {
    }

    /// Returns a random delay before the next attempt and doubles the upper
    /// bound.
    span next(std::mt19937_64& random)
    {
        std::uniform_int_distribution<std::int64_t> pick(1, m_limit.count());
        const span wait(pick(random));
        m_limit = m_limit * 2 < m_max ? m_limit * 2 : m_max;
        return wait;
    }

    /// Resets the upper bound to its initial value after a success.
    void reset() { m_limit = m_initial; }

private:
    span m_initial;
    span m_max;
    span m_limit;
};

/// Bounds for retries of store calls.
inline constexpr span initial_store_backoff(100);
inline constexpr span max_store_backoff = span::seconds(5);

} // namespace kingcuprudder

#endif
