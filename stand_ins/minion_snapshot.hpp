#ifndef STAND_INS_MINION_SNAPSHOT_HPP
#define STAND_INS_MINION_SNAPSHOT_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::stand_ins
{

/// A minion that is up.
struct minion_snapshot
{
    std::string m_id;
    std::string m_pool; ///< The service that it belongs to.
    std::vector<std::string> m_labels;
    dispatch::resources m_capacity;
    bool m_draining = false;
    std::vector<std::string> m_running; ///< The names of the tasks on it.

    friend bool operator==(const minion_snapshot&,
                           const minion_snapshot&) = default;
};

/// The start or the end of a run. A run that is lost with its minion has no
/// event for its end.
struct run_event
{
    std::string m_task; ///< "job.repeat.step.index".
    int m_run = 0;
    instant m_at;
    /// Empty for a start.
    std::optional<dispatch::run_outcome> m_outcome;

    friend bool operator==(const run_event&, const run_event&) = default;
};

/// All minions that are up at one moment, and what happened before.
struct minions_snapshot
{
    std::vector<minion_snapshot> m_minions;
    /// The events that the caller does not know yet, in order.
    std::vector<run_event> m_events;
    /// The number of all events so far.
    std::size_t m_event_count = 0;

    friend bool operator==(const minions_snapshot&,
                           const minions_snapshot&) = default;
};

/// Returns the outcome that a minion lists under this name. Throws
/// std::out_of_range for an unknown name.
dispatch::run_outcome outcome_of(const std::string& name);

} // namespace kingcuprudder::stand_ins

#endif
