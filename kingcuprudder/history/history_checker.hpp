#ifndef KINGCUPRUDDER_HISTORY_HISTORY_CHECKER_HPP
#define KINGCUPRUDDER_HISTORY_HISTORY_CHECKER_HPP

#include <kingcuprudder/history/history_event.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// The properties that a history is checked for.
enum class history_rule
{
    accelerator_overlap, ///< Two parts used one accelerator at the same time.
    partial_gang,        ///< A gang ran incomplete for longer than the bound.
    repeated_run,        ///< Work that must run at most once ran twice.
    wrong_answer,        ///< A duplicate answer, or one for another caller.
    ran_despite_not_run, ///< Work ran, but its caller received "not run".
    lost_job,            ///< An accepted job did not end.
    false_success,       ///< A job succeeded without a complete run.
    settings_reverted,   ///< A process adopted older settings.
    reclaim_late,        ///< A reclaim took longer than its bound.
    placed_on_draining,  ///< A draining target received new work.
};

std::string_view to_string(history_rule rule);

/// One violation of a rule.
struct history_violation
{
    history_rule m_rule = history_rule::accelerator_overlap;
    std::string m_text;
};

/// The bounds that a history is checked against.
struct history_bounds
{
    /// How long a gang may run on only some of its workers before its stop
    /// is requested. Covers the time until the task lease of a lost worker
    /// expires.
    span m_partial_gang = span::seconds(90);
    /// How long after the announcement a draining target may receive new work.
    span m_placement_after_drain = span::seconds(3);
    /// Whether each accepted job must end within the history.
    bool m_jobs_must_end = true;
};

/// Checks a recorded history. Returns every violation found, in the order of
/// the rules.
std::vector<history_violation>
check_history(const std::vector<history_event>& events,
              const history_bounds& bounds);

} // namespace kingcuprudder

#endif
