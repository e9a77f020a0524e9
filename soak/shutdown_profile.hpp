#ifndef SOAK_SHUTDOWN_PROFILE_HPP
#define SOAK_SHUTDOWN_PROFILE_HPP

#include <kingcuprudder/base/time.hpp>

#include <soak/shutdown_callers.hpp>

#include <string>
#include <vector>

namespace kingcuprudder::soak
{

struct shutdown_profile_options
{
    std::string m_program; ///< The path of kcr_node.
    std::string m_folder;  ///< For settings and logs.
    unsigned m_seed = 1;
    int m_callers = 20;
    int m_workers = 20;
    /// The share of a processor core that the process has, in percent.
    int m_processor_percent = 100;
    span m_grace = span::seconds(3);
    /// The delay of each call to the store.
    span m_store_delay = span(0);
    /// The share of the store's answers to writes that is lost from half a
    /// second before SIGTERM on.
    double m_lost_answers = 0;
};

/// What the callers of a process saw from SIGTERM on.
struct shutdown_report
{
    /// Whether the process exited within its grace time.
    bool m_exited = false;
    /// The time from SIGTERM to the end of the process.
    span m_lived;
    instant m_terminated_at;
    shutdown_calls m_calls;
    int m_accepted = 0; ///< Jobs that any process accepted.
    /// A message for each violation of what must hold for the jobs.
    std::vector<std::string> m_violations;
};

/// Ends a process with SIGTERM while callers use it, beside a second one. With
/// an even seed, the process leads.
shutdown_report run_shutdown_profile(const shutdown_profile_options& options);

/// Returns a line for each 100 ms since SIGTERM and each kind of caller, by the
/// time at which the requests were sent.
std::string table_of(const shutdown_report& report);
/// Returns a line for each request that was sent from SIGTERM on, or was open
/// then, and got no response.
std::vector<std::string> unanswered_requests(const shutdown_report& report);

} // namespace kingcuprudder::soak

#endif
