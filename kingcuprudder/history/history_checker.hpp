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
    accelerator_overlap, ///< Two parts used one accelerator at a time.
    partial_gang,        ///< A gang ran incompletely beyond the bound.
    repeated_run,        ///< Something ran twice that must run once.
    wrong_answer,        ///< An answer reached a caller it is not for.
    ran_despite_not_run, ///< A caller was told "not run", but it ran.
    lost_job,            ///< An accepted job has no end.
    false_success,       ///< A job "succeeded" without a complete run.
    settings_reverted,   ///< A process went back to older settings.
    reclaim_late,        ///< A reclaim took longer than its bound.
    placed_on_draining,  ///< A leaving target got new work.
};

std::string_view to_string(history_rule rule);

/// One breach of a rule.
struct history_violation
{
    history_rule m_rule = history_rule::accelerator_overlap;
    std::string m_text;
};

/// The bounds that a history is checked against.
struct history_bounds
{
    /// How long a gang may run on a part of its workers without being told to
    /// stop: until a lost worker's task lease has run out.
    span m_partial_gang = span::seconds(90);
    /// How long after the announcement a leaving target may get new work.
    span m_placement_after_drain = span::seconds(3);
    /// Whether accepted jobs must have ended by the end of the history.
    bool m_jobs_must_end = true;
};

/// Checks a recorded history. Returns every violation found, in the order of
/// the rules.
std::vector<history_violation>
check_history(const std::vector<history_event>& events,
              const history_bounds& bounds);

} // namespace kingcuprudder

#endif
