#ifndef KINGCUPRUDDER_HISTORY_HISTORY_INDEX_HPP
#define KINGCUPRUDDER_HISTORY_HISTORY_INDEX_HPP

#include <kingcuprudder/history/history_event.hpp>

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// The end time of a run that does not end within the history.
inline constexpr instant never(std::numeric_limits<std::int64_t>::max());

/// One run of one part of a gang, from its start to its end.
struct part_run
{
    part_started m_start;
    instant m_end = never;
    bool m_completed = false;
};

/// One call with its answers.
struct recorded_call
{
    std::optional<call_invoked> m_invoked;
    std::vector<call_answered> m_answers;
};

/// The events of a history, grouped as the rules of the checker need them.
class history_index
{
public:
    explicit history_index(const std::vector<history_event>& events);

    /// Identifies one attempt by its job and number.
    using attempt = std::pair<std::string, std::uint32_t>;

    std::vector<part_run> m_runs;
    /// Indices into m_runs.
    std::map<attempt, std::vector<std::size_t>> m_runs_by_attempt;
    std::map<attempt, instant> m_stop_requests; ///< The first request to stop.
    std::map<history_call_id, recorded_call> m_calls;
    std::vector<job_end_reported> m_job_ends;
    std::vector<request_executed> m_requests;
    std::vector<settings_adopted> m_settings;
    std::vector<reclaim_requested> m_reclaim_requests;
    std::map<attempt, instant> m_reclaim_completions;
    /// Events of type target_draining and work_placed.
    std::vector<history_event> m_target_events;

private:
    void add(const call_invoked& event);
    void add(const call_answered& event);
    void add(const job_end_reported& event);
    void add(const part_started& event);
    void add(const part_ended& event);
    void add(const stop_requested& event);
    void add(const request_executed& event);
    void add(const settings_adopted& event);
    void add(const reclaim_requested& event);
    void add(const reclaim_completed& event);
    void add(const target_draining& event);
    void add(const work_placed& event);
};

} // namespace kingcuprudder

#endif
