#ifndef SOAK_ROLLING_RESTARTS_HPP
#define SOAK_ROLLING_RESTARTS_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/job_callers.hpp>
#include <soak/status_callers.hpp>

#include <string>

namespace kingcuprudder::soak
{

struct rolling_restart_options
{
    std::string m_program; ///< The path of kcr_node.
    std::string m_folder;  ///< For settings and logs.
    unsigned m_seed = 1;
    span m_duration = span::seconds(40);
    int m_nodes = 6;
    int m_workers = 20;
    int m_callers = 24;
    /// Callers that submit and cancel jobs.
    int m_job_callers = 12;
    /// The time between two signals.
    span m_interval = span(700);
    /// Whether processes are restarted.
    bool m_restarts = true;
    /// Beside that, the time between two configurations with the same routes
    /// and keys, each with a SIGHUP for one of the processes; 0 for none.
    span m_configuration_interval = span(0);
};

/// The results of rolling restarts.
struct rolling_restart_report
{
    int m_restarts = 0;
    int m_configurations = 0;
    status_calls m_calls;
    job_calls m_job_calls;
    int m_accepted = 0; ///< Jobs that were accepted.
    /// A message for each violation of what must hold for the jobs.
    std::vector<std::string> m_violations;
};

/// Ends one process after the other with SIGTERM and starts each again, with no
/// other fault, while callers ask for a job's state and others submit and
/// cancel jobs. Each request must get a response, and each accepted job must
/// run once and be reported as completed unless it was cancelled.
rolling_restart_report
run_rolling_restarts(const rolling_restart_options& options);

} // namespace kingcuprudder::soak

#endif
