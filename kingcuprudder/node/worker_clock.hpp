#ifndef KINGCUPRUDDER_NODE_WORKER_CLOCK_HPP
#define KINGCUPRUDDER_NODE_WORKER_CLOCK_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <optional>

namespace kingcuprudder::node
{

/// Computes lease ends on the steady clock of one worker, in milliseconds, from
/// the last reading of that clock. The worker's clock may be slow, so the time
/// since the reading counts at the slowest rate: a lease end is never later on
/// the worker than the leader assumes, and earlier the older the reading is.
class worker_clock
{
public:
    /// Takes a reading of the clock from an answer that was received at this
    /// time. A clock of 0 is unknown and ignored.
    void observe(std::int64_t clock, instant received);
    /// Returns whether there is a reading.
    bool is_known() const { return m_reading.has_value(); }
    /// Returns whether the reading is recent enough for a short lease.
    bool is_recent(instant now) const;
    /// Forgets the reading.
    void reset() { m_reading.reset(); }
    /// Returns the end of a lease of this length from now; nothing before the
    /// first reading.
    std::optional<std::int64_t> lease_end(span length, instant now) const;

private:
    struct reading
    {
        std::int64_t m_clock = 0;
        instant m_received;
    };

    std::optional<reading> m_reading;
};

} // namespace kingcuprudder::node

#endif
