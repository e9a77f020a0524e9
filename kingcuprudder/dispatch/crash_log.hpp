#ifndef KINGCUPRUDDER_DISPATCH_CRASH_LOG_HPP
#define KINGCUPRUDDER_DISPATCH_CRASH_LOG_HPP

#include <kingcuprudder/dispatch/decision_log.hpp>
#include <kingcuprudder/dispatch/job_progress.hpp>
#include <kingcuprudder/dispatch/worker_loss.hpp>
#include <kingcuprudder/dispatch/worker_table.hpp>

#include <cstddef>

namespace kingcuprudder::dispatch
{

// The log fields of the decisions about lost workers and suspected tasks.

/// Adds the second list of fields to the first one.
void append(decision_fields& fields, const decision_fields& added);

/// Returns the lost workers that count against a task.
decision_fields crash_fields(const task_progress& task);

/// Returns what is known about the loss of a worker, and its age.
decision_fields loss_fields(const worker_loss& loss, const worker_entry& worker,
                            instant now);

/// Returns what is known about one run on a lost worker: its number, its age
/// when the worker became silent, whether the worker had accepted it, and how
/// many other jobs had a new run there.
decision_fields run_fields(const worker_loss& loss, std::size_t position,
                           int run);

/// Returns whether a reader may ask why the loss is not attributed to the run:
/// it was new, or its task is suspected already.
bool is_worth_a_line(const lost_run& run, const worker_loss& loss,
                     const task_progress& progress);

} // namespace kingcuprudder::dispatch

#endif
