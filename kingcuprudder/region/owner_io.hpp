#ifndef KINGCUPRUDDER_REGION_OWNER_IO_HPP
#define KINGCUPRUDDER_REGION_OWNER_IO_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/region/log_record.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kingcuprudder
{

/// Matches an answer to its call. Unique within one process.
using call_number = std::uint64_t;

/// A revision of a key in the store; 0 stands for an absent key.
using store_revision = std::uint64_t;

/// Reads one key.
struct store_get
{
    std::string m_key;

    friend auto operator<=>(const store_get&, const store_get&) = default;
};

/// Writes one key if its revision is still the expected one.
struct store_put
{
    std::string m_key;
    std::string m_value;
    store_revision m_expected = 0;
    std::string m_lease; ///< Empty for a key without a lease.

    friend auto operator<=>(const store_put&, const store_put&) = default;
};

/// Deletes one key if its revision is still the expected one.
struct store_delete
{
    std::string m_key;
    store_revision m_expected = 0;

    friend auto operator<=>(const store_delete&, const store_delete&) = default;
};

/// Requests a new lease.
struct lease_grant
{
    span m_time_to_live;

    friend auto operator<=>(const lease_grant&, const lease_grant&) = default;
};

/// Extends a lease by its time to live.
struct lease_renew
{
    std::string m_lease;

    friend auto operator<=>(const lease_renew&, const lease_renew&) = default;
};

/// One call to the key-value store.
struct store_call
{
    call_number m_call = 0;
    std::variant<store_get, store_put, store_delete, lease_grant, lease_renew>
        m_operation;

    friend bool operator==(const store_call&, const store_call&) = default;
};

/// The key's value and revision; revision 0 when the key is absent.
struct store_value
{
    std::string m_value;
    store_revision m_revision = 0;

    friend auto operator<=>(const store_value&, const store_value&) = default;
};

/// A write or delete took effect.
struct store_written
{
    store_revision m_revision = 0;

    friend auto operator<=>(const store_written&,
                            const store_written&) = default;
};

/// A compare-and-swap found another revision and changed nothing.
struct store_conflict
{
    store_revision m_revision = 0;

    friend auto operator<=>(const store_conflict&,
                            const store_conflict&) = default;
};

/// A lease was granted or renewed.
struct lease_granted
{
    std::string m_lease;

    friend auto operator<=>(const lease_granted&,
                            const lease_granted&) = default;
};

/// The lease has expired.
struct lease_lapsed
{
    friend auto operator<=>(const lease_lapsed&, const lease_lapsed&) = default;
};

/// No usable answer arrived; a write may or may not have taken effect.
struct store_failed
{
    friend auto operator<=>(const store_failed&, const store_failed&) = default;
};

/// The answer to a store call.
struct store_answer
{
    call_number m_call = 0;
    std::variant<store_value, store_written, store_conflict, lease_granted,
                 lease_lapsed, store_failed>
        m_outcome;

    friend bool operator==(const store_answer&, const store_answer&) = default;
};

/// Identifies one attempt of a job.
struct attempt_key
{
    job_key m_job;
    std::uint32_t m_attempt = 0;

    friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

/// The state of an attempt's part on one worker.
enum class task_state
{
    prepared,  ///< Accelerators are held, nothing runs.
    running,   ///< The tasks run.
    succeeded, ///< All tasks of the worker's part succeeded.
    failed,    ///< A task failed; nothing of the part is running.
    stopped,   ///< Stopped on request or because the lease expired.
};

std::string_view to_string(task_state state);

/// The state of one attempt's part on one worker.
struct task_report
{
    attempt_key m_attempt;
    task_state m_state = task_state::prepared;
    std::uint64_t m_accelerators = 0;
    span m_saved_run_time; ///< Run time saved by the last checkpoint.
    std::string m_answer;  ///< What the tasks returned, when succeeded.

    friend auto operator<=>(const task_report&, const task_report&) = default;
};

/// A worker's report of its state, sent in a heartbeat or as the answer to a
/// claim.
struct worker_report
{
    worker_id m_worker;
    std::string m_boot; ///< Changes when the worker process restarts.
    epoch_number m_epoch = 0;
    std::vector<task_report> m_tasks;

    friend bool operator==(const worker_report&,
                           const worker_report&) = default;
};

/// Binds the worker to the owner of this epoch; it answers with its report.
struct worker_claim
{
    span m_heartbeat_interval;
    span m_task_lease;

    friend auto operator<=>(const worker_claim&, const worker_claim&) = default;
};

/// Holds accelerators for an attempt without starting its tasks.
struct worker_prepare
{
    attempt_key m_attempt;
    std::uint32_t m_tasks = 0;
    std::uint64_t m_accelerators = 0;
    span m_saved_run_time;
    std::string m_payload;

    friend auto operator<=>(const worker_prepare&,
                            const worker_prepare&) = default;
};

/// Starts a prepared attempt. The command is idempotent.
struct worker_start
{
    attempt_key m_attempt;

    friend auto operator<=>(const worker_start&, const worker_start&) = default;
};

/// Requests a checkpoint, then stops the attempt within the grace period.
struct worker_stop
{
    attempt_key m_attempt;
    span m_grace;

    friend auto operator<=>(const worker_stop&, const worker_stop&) = default;
};

/// One command to a worker. The worker refuses an epoch that is older than the
/// highest it has received.
struct worker_call
{
    call_number m_call = 0;
    worker_id m_worker;
    epoch_number m_epoch = 0;
    std::variant<worker_claim, worker_prepare, worker_start, worker_stop>
        m_command;

    friend bool operator==(const worker_call&, const worker_call&) = default;
};

/// The worker carried out the command.
struct worker_done
{
    friend auto operator<=>(const worker_done&, const worker_done&) = default;
};

/// The worker refused the command and did nothing.
struct worker_refused
{
    std::string m_reason;

    friend auto operator<=>(const worker_refused&,
                            const worker_refused&) = default;
};

/// The worker has received a newer epoch and did nothing.
struct worker_stale_epoch
{
    epoch_number m_epoch = 0;

    friend auto operator<=>(const worker_stale_epoch&,
                            const worker_stale_epoch&) = default;
};

/// No usable answer arrived; the command may or may not have taken effect.
struct worker_unreachable
{
    friend auto operator<=>(const worker_unreachable&,
                            const worker_unreachable&) = default;
};

/// The answer to a command. A claim is answered by a worker_report.
struct worker_answer
{
    call_number m_call = 0;
    worker_id m_worker;
    std::variant<worker_done, worker_report, worker_refused, worker_stale_epoch,
                 worker_unreachable>
        m_outcome;

    friend bool operator==(const worker_answer&,
                           const worker_answer&) = default;
};

/// Submits a job. Submitting the same content again returns the job's status.
struct submit_job
{
    job_spec m_spec;

    friend auto operator<=>(const submit_job&, const submit_job&) = default;
};

/// Requests a job's status. Answered immediately, or once the job has ended if
/// m_until_end is set.
struct query_job
{
    job_key m_job;
    bool m_until_end = false;
    instant m_deadline;

    friend auto operator<=>(const query_job&, const query_job&) = default;
};

/// Lists the jobs of one account, or of all when the account is empty.
struct list_jobs
{
    account_id m_account;

    friend auto operator<=>(const list_jobs&, const list_jobs&) = default;
};

/// Cancels a job. Answered once the job has ended.
struct cancel_job
{
    job_key m_job;

    friend auto operator<=>(const cancel_job&, const cancel_job&) = default;
};

/// Requests the reason why a job is waiting.
struct explain_job
{
    job_key m_job;

    friend auto operator<=>(const explain_job&, const explain_job&) = default;
};

/// Requests a permit to dispatch a non-idempotent request.
struct request_permit
{
    request_key m_request;
    std::uint64_t m_content_hash = 0;
    std::string m_holder;
    instant m_deadline;

    friend auto operator<=>(const request_permit&,
                            const request_permit&) = default;
};

/// Reports the outcome of a permitted request.
struct end_request
{
    request_key m_request;
    std::string m_holder;
    verdict m_verdict = verdict::may_have_run;
    std::string m_answer;

    friend auto operator<=>(const end_request&, const end_request&) = default;
};

/// A call from an entry process or an operator to the region's owner.
struct caller_call
{
    call_number m_call = 0;
    std::variant<submit_job, query_job, list_jobs, cancel_job, explain_job,
                 request_permit, end_request>
        m_request;

    friend bool operator==(const caller_call&, const caller_call&) = default;
};

/// The phases of a job that are reported to callers.
enum class job_phase
{
    queued,
    placed,
    running,
    stopping,
    ended,
};

std::string_view to_string(job_phase phase);

/// The status of a job that is reported to its caller.
struct job_status
{
    job_spec m_spec;
    job_phase m_phase = job_phase::queued;
    std::uint32_t m_attempt = 0;
    placement m_placement;
    instant m_accepted_at;
    instant m_started_at; ///< Zero until an attempt has started.
    instant m_ended_at;   ///< Zero until the job has ended.
    job_outcome m_outcome = job_outcome::succeeded;
    verdict m_verdict = verdict::not_run;
    std::string m_answer;

    friend bool operator==(const job_status&, const job_status&) = default;
};

/// The caller holds the only permit and may dispatch the request.
struct permit_granted
{
    friend auto operator<=>(const permit_granted&,
                            const permit_granted&) = default;
};

/// The request was dispatched before; this is its recorded outcome.
struct permit_ended
{
    verdict m_verdict = verdict::may_have_run;
    std::string m_answer;

    friend auto operator<=>(const permit_ended&, const permit_ended&) = default;
};

/// The reply of the owner to a call.
using caller_reply = std::variant<ok, job_status, std::vector<job_status>,
                                  wait_reason, permit_granted, permit_ended>;

/// The answer to one caller's call.
struct caller_answer
{
    call_number m_call = 0;
    result<caller_reply> m_reply;

    friend bool operator==(const caller_answer&,
                           const caller_answer&) = default;
};

/// The process no longer owns the region and has discarded its state.
struct stepped_down
{
    friend auto operator<=>(const stepped_down&, const stepped_down&) = default;
};

/// An action that the owner's state machine requests from its host process.
using owner_effect =
    std::variant<store_call, worker_call, caller_answer, stepped_down>;

} // namespace kingcuprudder

#endif
