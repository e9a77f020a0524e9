#include <kingcuprudder/node/worker_clock.hpp>

namespace kingcuprudder::node
{

namespace
{

// A worker's clock may be 2% slow; the divisor takes 2.5% off the elapsed time.
constexpr std::int64_t clock_error_divisor = 40;
// The age at which leases are shorter by 200 ms.
constexpr span max_recent_age = span(8000);

} // namespace

void worker_clock::observe(std::int64_t clock, instant received)
{
    if (clock != 0)
    {
        m_reading = reading{clock, received};
    }
}

bool worker_clock::is_recent(instant now) const
{
    return m_reading && now - m_reading->m_received <= max_recent_age;
}

std::optional<std::int64_t> worker_clock::lease_end(span length,
                                                    instant now) const
{
    if (!m_reading)
    {
        return std::nullopt;
    }
    const span elapsed = now - m_reading->m_received;
    const span counted = elapsed - elapsed / clock_error_divisor;
    return m_reading->m_clock + counted.count() + length.count();
}

} // namespace kingcuprudder::node
