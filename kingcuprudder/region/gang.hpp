#ifndef KINGCUPRUDDER_REGION_GANG_HPP
#define KINGCUPRUDDER_REGION_GANG_HPP

#include <kingcuprudder/region/log_record.hpp>
#include <kingcuprudder/region/region_log.hpp>

#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Bounds of the backoff between retries of one command to one worker.
inline constexpr span initial_command_backoff(200);
inline constexpr span max_command_backoff = span::seconds(5);

/// The state of one worker's part of a gang, as last reported to the owner.
enum class part_state
{
    unknown,   ///< Not reported yet.
    prepared,  ///< Accelerators are held, nothing runs.
    running,   ///< The worker has confirmed the start.
    succeeded, ///< All tasks succeeded.
    failed,    ///< A task failed; nothing is running.
    gone,      ///< Nothing is running or can start.
};

/// One worker's part of a gang.
struct gang_part
{
    allocation m_allocation;
    part_state m_state = part_state::unknown;
    call_number m_call = 0; ///< The command in flight, 0 for none.
    instant m_last_command;
    instant m_next_command;
    retry_backoff m_backoff{initial_command_backoff, max_command_backoff};
    /// Whether this owner has sent a start that may have taken effect.
    bool m_start_sent = false;
    bool m_start_unanswered = false;
    /// The time by which an acknowledged stop has taken effect; zero before the
    /// acknowledgement.
    instant m_stop_complete_at;
    span m_saved_run_time;
    std::string m_answer;
};

/// The owner's view of one attempt that holds accelerators.
struct gang
{
    job_key m_job;
    std::uint32_t m_attempt = 0;
    std::vector<gang_part> m_parts;
    instant m_phase_since; ///< When this owner entered the current phase.
    /// Whether a former owner placed the attempt and may have sent commands.
    bool m_inherited = false;
    bool m_prepare_failed = false;
    /// The uncommitted record that ends the current phase; 0 for none.
    record_ticket m_ticket = 0;
    /// Why the attempt must stop; set until the stop is recorded.
    std::optional<stop_reason> m_stop;
    /// Whether m_ticket is the record of that stop.
    bool m_stop_appended = false;
    std::vector<worker_id> m_failed_workers;
    instant m_due; ///< When the gang must be processed next; zero for never.
};

/// Whether the part has ended: nothing of it is running or can start.
inline bool is_over(const gang_part& part, instant now)
{
    const bool ended = part.m_state == part_state::succeeded ||
                       part.m_state == part_state::failed ||
                       part.m_state == part_state::gone;
    return ended || (part.m_stop_complete_at != instant() &&
                     part.m_stop_complete_at <= now);
}

} // namespace kingcuprudder

#endif
