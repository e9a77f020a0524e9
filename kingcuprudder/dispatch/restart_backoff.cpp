#include <kingcuprudder/dispatch/restart_backoff.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr span first_delay = span(250);
// Enough to reach the maximum.
constexpr int max_doublings = 8;

} // namespace

void restart_backoff::run_ended(int run, span at_work, instant now)
{
    if (run == m_last_run)
    {
        return;
    }
    m_last_run = run;
    m_short_runs = at_work < successful_run ? m_short_runs + 1 : 0;
    m_restart_at = now + delay();
}

span restart_backoff::delay() const
{
    if (m_short_runs < 2)
    {
        return span(0);
    }
    const int doublings = std::min(m_short_runs - 2, max_doublings);
    return std::min(first_delay * (1 << doublings), max_restart_delay);
}

} // namespace kingcuprudder::dispatch
