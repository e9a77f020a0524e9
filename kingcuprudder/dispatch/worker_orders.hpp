#ifndef KINGCUPRUDDER_DISPATCH_WORKER_ORDERS_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_ORDERS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/task_ref.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// One run of one task.
struct run_ref
{
    task_ref m_task;
    int m_run = 0;

    friend auto operator<=>(const run_ref&, const run_ref&) = default;
};

/// Tells a worker to start a run. Repeating it is harmless.
struct start_order
{
    std::string m_worker;
    run_ref m_run;
    std::string m_spec;
    std::string m_checkpoint; ///< Where the run goes on; empty for the start.

    friend bool operator==(const start_order&, const start_order&) = default;
};

/// Tells a worker to stop a run; the worker refuses the run afterwards.
struct stop_order
{
    std::string m_worker;
    run_ref m_run;

    friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// How an order to a worker went.
enum class order_outcome
{
    accepted,
    refused_fence,     ///< A newer scheduler has given orders there.
    refused_old,       ///< This run or a newer one has ended there.
    refused_late,      ///< The order's time limit has passed.
    refused_capacity,  ///< The task does not fit.
    refused_ticket,    ///< The ticket is missing or no longer valid.
    refused_busy,      ///< The worker did nothing.
    refused_invalid,   ///< The worker does not understand the order.
    wrong_incarnation, ///< The worker's process has been replaced.
    not_sent,          ///< No connection could be opened.
    may_have_arrived,  ///< No answer came.
};

std::string_view to_string(order_outcome outcome);

/// A job record to store.
struct job_write
{
    std::string m_job;
    /// The revision that the stored record must have.
    std::int64_t m_revision = 0;
    /// Identifies the state of the job that the record holds.
    std::int64_t m_version = 0;
    job_progress m_progress;
};

/// What the dispatcher wants done.
struct dispatch_effects
{
    std::vector<start_order> m_starts;
    std::vector<stop_order> m_stops;
    /// A worker knows a newer scheduler, so this one must give up.
    bool m_superseded = false;
};

/// How the lease of a worker is to be renewed.
struct renewal_request
{
    std::string m_worker;
    std::string m_address;
    std::int64_t m_incarnation = 0;
    /// The worker holds or may hold runs, or has not been read yet.
    bool m_needed = false;
    /// The worker may forget ends up to this number.
    std::int64_t m_acknowledged = 0;
    /// Ends that the worker reported are not stored yet.
    bool m_awaits_store = false;
    /// The worker's clock as it last published it, and when that was read.
    std::int64_t m_clock = 0;
    instant m_clock_read_at;

    friend bool operator==(const renewal_request&,
                           const renewal_request&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
