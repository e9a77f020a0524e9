#ifndef KINGCUPRUDDER_REQUEST_BACKOFF_HPP
#define KINGCUPRUDDER_REQUEST_BACKOFF_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <random>

namespace kingcuprudder
{

/// Computes the delays between retries: exponential backoff with full jitter,
/// so that callers that failed at the same time do not retry at the same time.
class backoff
{
public:
    /// The upper bound of the delay starts at `initial` and doubles with each
    /// call of next() up to `max`.
    backoff(span initial, span max, std::uint64_t seed);

    /// Returns the delay before the next retry; at least one millisecond.
    span next();

    /// Sets the upper bound of the delay back to its initial value.
    void reset();

private:
    span m_initial;
    span m_max;
    span m_ceiling;
    std::mt19937_64 m_random;
};

} // namespace kingcuprudder

#endif
