#ifndef KINGCUPRUDDER_REGION_GANG_HPP
#define KINGCUPRUDDER_REGION_GANG_HPP

#include <kingcuprudder/region/log_record.hpp>
#include <kingcuprudder/region/region_log.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Bounds for the time between tries of one command to one worker.
inline constexpr span command_retry_first(200);
inline constexpr span command_retry_longest = span::seconds(5);

/// What the owner knows of one worker's part of a gang.
enum class part_state
{
    unknown,   ///< Nothing yet.
    prepared,  ///< Accelerators are held, nothing runs.
    running,   ///< The worker has confirmed the start.
    succeeded, ///< All tasks ended well.
    failed,    ///< A task failed; nothing runs any more.
    gone,      ///< Nothing runs or can start any more.
};

/// One worker's part of a gang.
struct gang_part
{
    allocation m_allocation;
    part_state m_state = part_state::unknown;
    call_number m_call = 0; ///< The command in flight, 0 for none.
    instant m_last_command;
    instant m_next_command;
    retry_backoff m_backoff{command_retry_first, command_retry_longest};
    /// Whether this owner has sent a start that may have taken effect.
    bool m_start_sent = false;
    bool m_start_unanswered = false;
    /// When an acknowledged stop is certainly carried out; zero before.
    instant m_stopped_by;
    span m_saved_run_time;
    std::string m_answer;
};

/// One attempt that holds accelerators, as its owner follows it.
struct gang
{
    job_key m_job;
    std::uint32_t m_attempt = 0;
    std::vector<gang_part> m_parts;
    instant m_since; ///< When the current phase began for this owner.
    /// Whether a former owner placed it: it may have sent commands.
    bool m_inherited = false;
    bool m_prepare_failed = false;
    /// The record under way that ends the current phase, 0 for none.
    record_ticket m_ticket = 0;
    /// Why the attempt must stop, as soon as that can be recorded.
    std::optional<stop_reason> m_stop;
    /// Whether m_ticket is the record of that stop.
    bool m_stop_appended = false;
    std::vector<worker_id> m_failed_workers;
    instant m_due; ///< The next time to look at it; zero for none.
};

/// Whether nothing of the part runs or will run.
inline bool is_over(const gang_part& part, instant now)
{
    const bool ended = part.m_state == part_state::succeeded ||
                       part.m_state == part_state::failed ||
                       part.m_state == part_state::gone;
    return ended ||
           (part.m_stopped_by != instant() && part.m_stopped_by <= now);
}

} // namespace kingcuprudder

#endif
