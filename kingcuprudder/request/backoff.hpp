#ifndef KINGCUPRUDDER_REQUEST_BACKOFF_HPP
#define KINGCUPRUDDER_REQUEST_BACKOFF_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <random>

namespace kingcuprudder
{

/// Delays between repeated calls: exponential with full jitter, so that many
/// callers that failed together do not return together.
class backoff
{
public:
    /// The upper end of the delay starts at `first` and doubles up to
    /// `longest`.
    backoff(span first, span longest, std::uint64_t seed);

    /// The delay before the next repetition; at least one millisecond.
    span next();

    /// Starts again with the shortest delay.
    void reset();

private:
    span m_first;
    span m_longest;
    span m_ceiling;
    std::mt19937_64 m_random;
};

} // namespace kingcuprudder

#endif
