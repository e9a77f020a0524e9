#include <kingcuprudder/dispatch/worker_loss.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// The loss of a worker is possibly caused by runs up to this age.
constexpr span new_run_age = span(5000);
constexpr int workers_lost_together = 3;
constexpr span ended_together = span(500);
// More than the timeout of a call and the wait of the poll before it.
constexpr span unanswered_together = span(2500);

bool is_between(const std::optional<instant>& time, instant from, instant to)
{
    return time && *time >= from && *time <= to;
}

} // namespace

bool worker_loss::may_precede(const lost_run& run) const
{
    return m_found_replaced && run.m_first_sent_at && !run.m_accepted;
}

bool worker_loss::counts_as_ended(std::size_t position) const
{
    const lost_run& run = m_runs[position];
    return !may_precede(run) && !(m_unreliable && is_old(run));
}

bool worker_loss::is_old(const lost_run& run) const
{
    const instant started = run.m_first_sent_at.value_or(run.m_started_before);
    return m_silent_since && *m_silent_since - started > new_run_age;
}

bool worker_loss::is_new(const lost_run& run) const
{
    if (!m_silent_since || may_precede(run))
    {
        return false;
    }
    if (m_process_ended)
    {
        return is_between(run.m_first_sent_at,
                          *m_silent_since - crash_after_start, *m_silent_since);
    }
    // The machine was lost at some time since its last answer. It may have been
    // lost already when a start was sent that it did not accept.
    return run.m_accepted &&
           is_between(run.m_first_sent_at, m_last_answer - crash_after_start,
                      *m_silent_since);
}

bool worker_loss::follows_a_start() const
{
    return std::any_of(m_runs.begin(), m_runs.end(),
                       [this](const lost_run& run) { return is_new(run); });
}

crash_suspicion worker_loss::suspicion_of(std::size_t position) const
{
    const lost_run& run = m_runs[position];
    const crash_suspicion found = suspicion_by_start(position);
    if (m_with_others && !m_process_ended)
    {
        return crash_suspicion::none;
    }
    if (found == crash_suspicion::certain)
    {
        const bool other_reason =
            m_unreliable || m_with_others || run.m_repeated;
        return other_reason ? crash_suspicion::possible : found;
    }
    if (m_unreliable || m_with_others)
    {
        return is_new(run) ? crash_suspicion::slight : crash_suspicion::none;
    }
    return found;
}

std::vector<double> worker_loss::suspicion_shares() const
{
    std::vector<double> shares;
    double sum = 0;
    for (std::size_t position = 0; position < m_runs.size(); ++position)
    {
        shares.push_back(weight_of(suspicion_of(position)));
        sum += shares.back();
    }
    for (double& share : shares)
    {
        share = sum > 0 ? share / sum : 0;
    }
    return shares;
}

crash_suspicion worker_loss::suspicion_by_start(std::size_t position) const
{
    const lost_run& run = m_runs[position];
    if (may_precede(run))
    {
        return crash_suspicion::none;
    }
    if (!run.m_first_sent_at)
    {
        return is_old(run) ? crash_suspicion::none : crash_suspicion::possible;
    }
    if (!m_process_ended)
    {
        return is_new(run) ? crash_suspicion::possible : crash_suspicion::none;
    }
    const bool only_new_job =
        std::all_of(m_runs.begin(), m_runs.end(),
                    [&](const lost_run& other)
                    { return other.m_job == run.m_job || !is_new(other); });
    if (is_new(run) && only_new_job)
    {
        return crash_suspicion::certain;
    }
    return is_between(run.m_first_sent_at, *m_silent_since - new_run_age,
                      *m_silent_since)
               ? crash_suspicion::possible
               : crash_suspicion::none;
}

bool has_common_cause(int lost, int with_new_run)
{
    const int without_new_run = lost - with_new_run;
    return without_new_run >= workers_lost_together ||
           (lost >= workers_lost_together && with_new_run < without_new_run);
}

span common_loss_period(bool process_ended)
{
    return process_ended ? ended_together : unanswered_together;
}

} // namespace kingcuprudder::dispatch
