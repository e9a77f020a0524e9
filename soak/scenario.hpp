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
};

/// The results of a scenario.
struct scenario_report
{
    int m_accepted = 0;   ///< Jobs that were accepted.
    int m_refused = 0;    ///< Jobs that were refused in each attempt.
    int m_unanswered = 0; ///< Jobs of which the outcome is unknown.
    int m_faults = 0;     ///< Injected faults.
    /// A message for each violation.
    std::vector<std::string> m_violations;
};

/// Submits jobs to kcr_node processes and injects random faults, then ends the
/// faults and waits for recovery. Checks that every accepted job was run once
/// and is reported as completed, and that no refused job ran.
scenario_report run_scenario(const scenario_options& options);

} // namespace kingcuprudder::soak

#endif
