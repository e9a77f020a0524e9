#include <kingcuprudder/history/history_index.hpp>

namespace kingcuprudder
{

history_index::history_index(const std::vector<history_event>& events)
{
    for (const history_event& event : events)
    {
        std::visit([this](const auto& each) { add(each); }, event);
    }
}

void history_index::add(const call_invoked& event)
{
    m_calls[event.m_call].m_invoked = event;
}

void history_index::add(const call_answered& event)
{
    m_calls[event.m_call].m_answers.push_back(event);
}

void history_index::add(const job_end_reported& event)
{
    m_job_ends.push_back(event);
}

void history_index::add(const part_started& event)
{
    m_runs_by_attempt[{event.m_job, event.m_attempt}].push_back(m_runs.size());
    m_runs.push_back({event});
}

void history_index::add(const part_ended& event)
{
    const auto& runs = m_runs_by_attempt[{event.m_job, event.m_attempt}];
    for (std::size_t index : runs)
    {
        part_run& run = m_runs[index];
        if (run.m_start.m_worker == event.m_worker && run.m_end == never)
        {
            run.m_end = event.m_at;
            run.m_completed = event.m_completed;
            return;
        }
    }
}

void history_index::add(const stop_requested& event)
{
    m_stop_requests.try_emplace({event.m_job, event.m_attempt}, event.m_at);
}

void history_index::add(const request_executed& event)
{
    m_requests.push_back(event);
}

void history_index::add(const settings_adopted& event)
{
    m_settings.push_back(event);
}

void history_index::add(const reclaim_requested& event)
{
    m_reclaim_requests.push_back(event);
}

void history_index::add(const reclaim_completed& event)
{
    m_reclaim_completions.try_emplace({event.m_job, event.m_attempt},
                                      event.m_at);
}

void history_index::add(const target_draining& event)
{
    m_target_events.emplace_back(event);
}

void history_index::add(const work_placed& event)
{
    m_target_events.emplace_back(event);
}

} // namespace kingcuprudder
