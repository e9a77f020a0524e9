#ifndef KINGCUPRUDDER_DISPATCH_WORKER_ORDERS_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_ORDERS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/task_ref.hpp>

#include <cstdint>
#include <functional>
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

/// Orders a worker to start a run. The order is idempotent.
struct start_order
{
    std::string m_worker;
    run_ref m_run;
    std::string m_spec;
    /// The checkpoint to resume from; empty for none.
    std::string m_checkpoint;
    /// The fencing token under which the order is sent, however long it waits.
    std::int64_t m_fence = 0;
    /// The time from which the lease that it grants is counted, however long it
    /// waits.
    instant m_made_at = {};

    friend bool operator==(const start_order&, const start_order&) = default;
};

/// Orders a worker to stop a run. The worker refuses later starts of the run.
struct stop_order
{
    std::string m_worker;
    run_ref m_run;
    /// The worker's incarnation when the order was made. An earlier process's
    /// answer says nothing about the run at the present one.
    std::int64_t m_incarnation = 0;

    friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// The start of a run that was released while the order had no answer.
struct withdrawn_start
{
    std::string m_worker;
    run_ref m_run;

    friend bool operator==(const withdrawn_start&,
                           const withdrawn_start&) = default;
};

/// The outcome of an order to a worker.
enum class order_outcome
{
    accepted,
    refused_fence,     ///< The worker has accepted a newer leader's token.
    refused_own_fence, ///< This leader has raised its token since.
    refused_old,       ///< This run or a newer one has ended on the worker.
    refused_late,      ///< The deadline of the order has passed.
    refused_capacity,  ///< The task does not fit.
    refused_ticket,    ///< The ticket is missing or no longer valid.
    refused_busy,      ///< The worker is busy and executed nothing.
    refused_invalid,   ///< The worker could not parse the order.
    wrong_incarnation, ///< The worker's process has restarted.
    not_sent,          ///< No connection could be opened.
    may_have_arrived,  ///< The order was sent but not answered.
};

std::string_view to_string(order_outcome outcome);

/// A pending write of a job record.
struct job_write
{
    std::string m_job;
    /// The expected revision of the stored record.
    std::int64_t m_revision = 0;
    /// The version of the job's state in the record.
    std::int64_t m_version = 0;
    job_progress m_progress;
};

/// Returns whether a job's record may be written now. The job may have ended.
using write_filter = std::function<bool(const std::string& job, bool ended)>;

/// The orders to send to the workers.
struct dispatch_effects
{
    std::vector<start_order> m_starts;
    std::vector<stop_order> m_stops;
    /// Starts of released runs that must not be sent any more.
    std::vector<withdrawn_start> m_withdrawn;
    /// A worker has accepted a newer fencing token, so this scheduler must
    /// resign its leadership.
    bool m_superseded = false;
};

/// A request to renew the lease of a worker.
struct renewal_request
{
    std::string m_worker;
    std::string m_address;
    /// The incarnation of the worker: the start time of its process in Unix
    /// milliseconds; 0 if unknown.
    std::int64_t m_incarnation = 0;
    /// The worker may hold runs, has unstored completions, or has not answered
    /// yet.
    bool m_needed = false;
    /// Completions up to this number are acknowledged and may be discarded.
    std::int64_t m_acknowledged = 0;
    /// Completions that the worker reported are not stored yet.
    bool m_awaits_store = false;
    /// The worker's process must have accepted a fencing token of at least this
    /// value before it gets work; 0 for any.
    std::int64_t m_min_fence = 0;
    /// The worker list says that the worker drains, so it is sent no starts.
    bool m_draining = false;

    friend bool operator==(const renewal_request&,
                           const renewal_request&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
