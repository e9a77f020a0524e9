#ifndef SOAK_ROLLING_RESTARTS_HPP
#define SOAK_ROLLING_RESTARTS_HPP

#include <kingcuprudder/base/time.hpp>

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
    /// The time between two signals.
    span m_interval = span(700);
};

/// The results of rolling restarts.
struct rolling_restart_report
{
    int m_restarts = 0;
    status_calls m_calls;
};

/// Ends one process after the other with SIGTERM and starts each again, with no
/// other fault, while callers ask for a job's state. Each request must get a
/// response.
rolling_restart_report
run_rolling_restarts(const rolling_restart_options& options);

} // namespace kingcuprudder::soak

#endif
