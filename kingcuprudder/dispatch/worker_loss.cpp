#include <kingcuprudder/dispatch/worker_loss.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// The loss of a worker is possibly caused by runs up to this age.
constexpr span new_run_age = span(5000);
constexpr int workers_lost_together = 3;

bool is_within(const lost_run& run, instant silent_since, span age)
{
    return run.m_first_sent_at && *run.m_first_sent_at <= silent_since &&
           silent_since - *run.m_first_sent_at <= age;
}

} // namespace

bool worker_loss::follows_a_start() const
{
    return m_silent_since &&
           std::any_of(
               m_runs.begin(), m_runs.end(),
               [this](const lost_run& run)
               { return is_within(run, *m_silent_since, crash_after_start); });
}

crash_suspicion worker_loss::suspicion_of(std::size_t position) const
{
    const lost_run& run = m_runs[position];
    if (!m_silent_since || !run.m_first_sent_at)
    {
        return run.m_first_sent_at ? crash_suspicion::none
                                   : crash_suspicion::possible;
    }
    if (!is_within(run, *m_silent_since, new_run_age))
    {
        return crash_suspicion::none;
    }
    const bool only_new_job = std::all_of(
        m_runs.begin(), m_runs.end(),
        [&](const lost_run& other)
        {
            return other.m_job == run.m_job ||
                   !is_within(other, *m_silent_since, crash_after_start);
        });
    return only_new_job && is_within(run, *m_silent_since, crash_after_start)
               ? crash_suspicion::certain
               : crash_suspicion::possible;
}

bool has_common_cause(int lost, int with_new_run)
{
    return lost >= workers_lost_together && 2 * with_new_run < lost;
}

} // namespace kingcuprudder::dispatch
