#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_SIMULATED_WORKER_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_SIMULATED_WORKER_HPP

#include <kingcuprudder/dispatch/worker_description.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A run on a simulated worker.
struct simulated_run
{
    run_ref m_ref;
    /// Work done, in milliseconds of a worker at normal speed.
    double m_work_done_ms = 0;
    /// The work of the last reported checkpoint.
    double m_reported_work_ms = 0;
    instant m_started_at;
    std::optional<instant> m_stop_at;
    /// The run crashes its worker at this time.
    std::optional<instant> m_crash_at;
};

/// One process of a worker. A process that has crashed remains until it is
/// replaced by one with the same id.
struct simulated_worker
{
    worker_description m_description;
    int m_index = 0; ///< The same for all processes of the worker.
    double m_slowdown = 1;
    std::vector<simulated_run> m_runs;
    std::vector<completion_report> m_ended;
    std::int64_t m_last_end = 0;
    std::int64_t m_last_reported_end = 0;
    /// Completions that the worker could not report when they happened.
    std::set<std::int64_t> m_unseen_ends;
    instant m_next_report;
    bool m_report_due = true;
    /// The time of the last renewal or start that the worker has received.
    instant m_renewed_at;
    bool m_crashed = false;
    /// The process crashed; else its machine lost power or is cut off.
    bool m_closed_connections = false;
    /// Calls to a crashed worker are refused from this time on; earlier ones
    /// are not answered.
    instant m_refuses_from;
    /// The worker is cut off until this time.
    instant m_cut_off_until;

    bool is_silent(instant now) const
    {
        return m_crashed || now < m_cut_off_until;
    }
};

} // namespace kingcuprudder::dispatch

#endif
