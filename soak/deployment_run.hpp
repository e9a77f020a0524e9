#ifndef SOAK_DEPLOYMENT_RUN_HPP
#define SOAK_DEPLOYMENT_RUN_HPP

#include <soak/balanced_connection.hpp>
#include <soak/deployment_sheet.hpp>

#include <string>
#include <vector>

namespace kingcuprudder::soak
{

struct deployment_run_options
{
    std::string m_program; ///< The path of kcr_node.
    std::string m_folder;  ///< For settings and logs.
    unsigned m_seed = 1;
    deployment_sheet m_sheet;
    /// Whether there are unplanned faults beside the planned work.
    bool m_faults = false;
};

/// The results of a deployment's run.
struct deployment_run_report
{
    int m_jobs = 0;
    int m_accepted = 0;
    int m_cancelled = 0; ///< Accepted jobs whose cancelling was sent.
    int m_completed = 0;
    /// Jobs that had ended and were unknown to a later read.
    int m_forgotten = 0;
    int m_planned_work = 0;
    int m_faults = 0;
    /// Processes that still ran when their shutdown grace time was over.
    int m_killed_after_grace = 0;
    /// The time from the end of the load until all jobs had ended.
    span m_time_to_completion;
    call_counts m_calls;
    /// Answered requests of the callers that ask all the time.
    int m_status_calls = 0;
    /// A message for each violation.
    std::vector<std::string> m_violations;
};

/// Runs kcr_node processes, workers and callers in the size of the sheet with
/// planned work in overlapping series. Checks that each request gets a
/// response, that each accepted job that nobody cancelled is completed, and
/// that persistent tasks are at work at the end.
deployment_run_report run_deployment(const deployment_run_options& options);

} // namespace kingcuprudder::soak

#endif
