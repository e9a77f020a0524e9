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

/// What a run of the soak found.
struct scenario_report
{
    int m_accepted = 0;
    int m_refused = 0;
    int m_unanswered = 0;
    int m_faults = 0;
    /// Each promise that was broken, in a sentence.
    std::vector<std::string> m_violations;
};

/// Plays callers and random faults against real processes, then lets all
/// recover and checks that every accepted job was run once and is shown as
/// completed, that no refused job ran, and that no key works too long after it
/// was taken away.
scenario_report run_scenario(const scenario_options& options);

} // namespace kingcuprudder::soak

#endif
