#ifndef SOAK_SCENARIO_HPP
#define SOAK_SCENARIO_HPP

#include <kingcuprudder/base/time.hpp>

#include <string>
#include <vector>

namespace kingcuprudder::soak
{

struct scenario_options
{
    std::string m_program; ///< The path of kcr_node.
    std::string m_folder;  ///< For settings and logs.
    unsigned m_seed = 1;
    span m_fault_duration = span::seconds(10);
    int m_nodes = 3;
    int m_minions = 6;
    /// How long workers run their tasks without a renewal. A crashed worker's
    /// tasks are started again when it is over.
    span m_worker_lease = span(6000);
    /// Workers crash and return, alone and by tasks that crash each worker.
    /// Also, all processes may be killed at once.
    bool m_crashes = false;
    /// Another writer puts false entries into the worker list.
    bool m_false_entries = false;
    /// Workers restart under their ids while starts are still to be carried out
    /// there.
    bool m_late_starts = false;
};

/// Returns the options of a scenario with crashes, in which there are more
/// workers and their leases are short.
scenario_options crash_options();

/// The results of a scenario.
struct scenario_report
{
    int m_accepted = 0;      ///< Jobs that were accepted.
    int m_refused = 0;       ///< Jobs that were refused in each attempt.
    int m_unanswered = 0;    ///< Jobs of which the outcome is unknown.
    int m_faults = 0;        ///< Injected faults.
    int m_crashes = 0;       ///< Workers that crashed, some of them by a task.
    int m_false_entries = 0; ///< Entries of the worker list by another writer.
    int m_late_starts = 0;   ///< Workers that restarted before a late start.
    /// Accepted jobs with a task that crashes its workers.
    int m_crashing_jobs = 0;
    int m_given_up = 0; ///< The ones among them that are reported as failed.
    /// A message for each violation.
    std::vector<std::string> m_violations;
};

/// Submits jobs to kcr_node processes and injects random faults, then ends the
/// faults and waits for recovery. Checks that every accepted job was run once
/// and is reported as completed, that no refused job ran, and that tasks that
/// crash their workers are given up in time.
scenario_report run_scenario(const scenario_options& options);

} // namespace kingcuprudder::soak

#endif
