#ifndef KINGCUPRUDDER_REGION_LOG_RECORD_HPP
#define KINGCUPRUDDER_REGION_LOG_RECORD_HPP

#include <kingcuprudder/base/verdict.hpp>
#include <kingcuprudder/region/job_spec.hpp>
#include <kingcuprudder/topology/placement.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcuprudder
{

/// Numbers the owners of a region; each takeover increments it.
using epoch_number = std::uint64_t;

/// Numbers the entries of a region's log, starting from 1.
using sequence_number = std::uint64_t;

/// A new owner has taken over. Former owners cannot append after this record.
struct epoch_started
{
    epoch_number m_epoch = 0;
    instance_id m_owner;
    instant m_at;

    friend auto operator<=>(const epoch_started&,
                            const epoch_started&) = default;
};

/// A job was accepted. The region must bring every accepted job to exactly one
/// end.
struct job_accepted
{
    job_spec m_spec;
    instant m_at;

    friend auto operator<=>(const job_accepted&, const job_accepted&) = default;
};

/// All accelerators of a gang are committed to one attempt.
struct job_placed
{
    job_key m_job;
    std::uint32_t m_attempt = 0;
    placement m_placement;
    instant m_at;

    friend auto operator<=>(const job_placed&, const job_placed&) = default;
};

/// Every worker has prepared. Start commands are sent only after this record is
/// committed.
struct job_started
{
    job_key m_job;
    std::uint32_t m_attempt = 0;
    instant m_at;

    friend auto operator<=>(const job_started&, const job_started&) = default;
};

/// Why an attempt is stopped before its end.
enum class stop_reason
{
    cancelled,       ///< The caller cancelled the job.
    reclaimed,       ///< Another account reclaims its guarantee.
    prepare_failed,  ///< A worker did not prepare; nothing ran.
    gang_incomplete, ///< A worker did not start or was lost.
    task_failed,     ///< A task of the gang failed.
    deadline_passed, ///< The job's deadline has passed.
};

std::string_view to_string(stop_reason reason);

/// An attempt is being stopped on all of its workers.
struct job_stopping
{
    job_key m_job;
    std::uint32_t m_attempt = 0;
    stop_reason m_reason = stop_reason::cancelled;
    instant m_at;

    friend auto operator<=>(const job_stopping&, const job_stopping&) = default;
};

/// An attempt has released its accelerators and the job is queued for its next
/// attempt.
struct job_released
{
    job_key m_job;
    std::uint32_t m_attempt = 0;
    stop_reason m_reason = stop_reason::prepare_failed;
    /// Whether the attempt may have run.
    verdict m_verdict = verdict::not_run;
    /// The run time saved by checkpoints so far.
    span m_saved_run_time;
    instant m_at;
    /// Workers on which the attempt failed; the next attempt avoids them.
    std::vector<worker_id> m_failed_workers = {};

    friend auto operator<=>(const job_released&, const job_released&) = default;
};

/// The outcome of a job.
enum class job_outcome
{
    succeeded,
    failed,
    cancelled,
    deadline_passed,
};

std::string_view to_string(job_outcome outcome);

/// A job has ended. Its answer is retained for later queries.
struct job_ended
{
    job_key m_job;
    std::uint32_t m_attempt = 0;
    job_outcome m_outcome = job_outcome::succeeded;
    verdict m_verdict = verdict::ran;
    std::string m_answer;
    instant m_at;

    friend auto operator<=>(const job_ended&, const job_ended&) = default;
};

/// Identifies a request. The caller chooses the request id, which is unique
/// within its account.
struct request_key
{
    account_id m_account;
    request_id m_request;

    friend auto operator<=>(const request_key&, const request_key&) = default;
};

/// A permit for exactly one call to dispatch a non-idempotent request.
struct request_permitted
{
    request_key m_request;
    std::uint64_t m_content_hash = 0;
    /// Identifies the call that holds the permit.
    std::string m_holder;
    instant m_deadline;
    instant m_at;

    friend auto operator<=>(const request_permitted&,
                            const request_permitted&) = default;
};

/// The outcome of a permitted request, retained for repeated calls.
struct request_ended
{
    request_key m_request;
    verdict m_verdict = verdict::may_have_run;
    std::string m_answer;
    instant m_at;

    friend auto operator<=>(const request_ended&,
                            const request_ended&) = default;
};

/// A worker on which consecutive jobs failed is quarantined: it gets no new
/// work until m_until.
struct worker_set_aside
{
    worker_id m_worker;
    instant m_until;

    friend auto operator<=>(const worker_set_aside&,
                            const worker_set_aside&) = default;
};

/// The quarantine of a worker has ended.
struct worker_restored
{
    worker_id m_worker;

    friend auto operator<=>(const worker_restored&,
                            const worker_restored&) = default;
};

/// One decision of a region's owner. The log contains only decisions, so that
/// replaying it rebuilds the region's state.
using log_record =
    std::variant<epoch_started, job_accepted, job_placed, job_started,
                 job_stopping, job_released, job_ended, request_permitted,
                 request_ended, worker_set_aside, worker_restored>;

/// The records that one compare-and-swap commits atomically.
struct log_entry
{
    sequence_number m_sequence = 0;
    epoch_number m_epoch = 0;
    /// Identifies the batch, so that the writer recognizes its own entry after
    /// a lost answer.
    std::string m_batch_id;
    std::vector<log_record> m_records;

    friend bool operator==(const log_entry&, const log_entry&) = default;
};

} // namespace kingcuprudder

#endif
