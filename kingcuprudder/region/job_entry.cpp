#include <kingcuprudder/region/job_entry.hpp>

namespace kingcuprudder
{

job_status status_of(const job_entry& entry)
{
    job_status status;
    status.m_spec = entry.m_spec;
    status.m_phase = entry.m_phase;
    status.m_attempt = entry.m_attempt;
    status.m_placement = entry.m_placement;
    status.m_accepted_at = entry.m_accepted_at;
    status.m_started_at = entry.m_started_at;
    if (entry.m_end)
    {
        status.m_ended_at = entry.m_end->m_at;
        status.m_outcome = entry.m_end->m_outcome;
        status.m_verdict = entry.m_end->m_verdict;
        status.m_answer = entry.m_end->m_answer;
        return status;
    }
    const bool started = entry.m_started_at != instant();
    status.m_verdict =
        started ? verdict::may_have_run : entry.earlier_verdict();
    return status;
}

} // namespace kingcuprudder
