#ifndef KINGCUPRUDDER_HISTORY_HISTORY_EVENT_HPP
#define KINGCUPRUDDER_HISTORY_HISTORY_EVENT_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/region/log_record.hpp>
#include <kingcuprudder/region/owner_io.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace kingcuprudder
{

/// Numbers the calls of one history; each invocation has its own number.
using history_call_id = std::uint64_t;

/// The kind of a recorded call.
enum class call_kind
{
    submit,
    query,
    cancel,
    request,
};

/// A caller has sent a call.
struct call_invoked
{
    history_call_id m_call = 0;
    std::string m_caller;
    call_kind m_kind = call_kind::submit;
    std::string m_subject; ///< The job or request that the call names.
    bool m_idempotent = true;
    instant m_at;
};

/// A caller has received an answer.
struct call_answered
{
    history_call_id m_call = 0;
    std::string m_caller;  ///< The caller that received it.
    std::string m_subject; ///< What the answer names; empty in an error.
    /// The verdict of a refusal; empty when the call succeeded.
    std::optional<verdict> m_refusal_verdict;
    instant m_at;
};

/// A caller has received the end of a job.
struct job_end_reported
{
    std::string m_job;
    job_outcome m_outcome = job_outcome::succeeded;
    verdict m_verdict = verdict::ran;
    instant m_at;
};

/// A worker has started its part of an attempt.
struct part_started
{
    worker_id m_worker;
    std::string m_job;
    std::uint32_t m_attempt = 0;
    std::uint64_t m_accelerators = 0;
    std::uint32_t m_gang_parts = 1; ///< Workers of the whole gang.
    bool m_idempotent = true;
    instant m_at;
};

/// A worker's part of an attempt has ended.
struct part_ended
{
    worker_id m_worker;
    std::string m_job;
    std::uint32_t m_attempt = 0;
    bool m_completed = false; ///< Whether all of its tasks completed.
    instant m_at;
};

/// The stop of an attempt was requested.
struct stop_requested
{
    std::string m_job;
    std::uint32_t m_attempt = 0;
    instant m_at;
};

/// A backend has executed a request.
struct request_executed
{
    std::string m_request;
    bool m_idempotent = false;
    instant m_at;
};

/// A process has put a revision of the settings into effect.
struct settings_adopted
{
    std::string m_process;
    std::uint64_t m_revision = 0;
    instant m_at;
};

/// A job was requested to return borrowed capacity within a bound.
struct reclaim_requested
{
    std::string m_job;
    std::uint32_t m_attempt = 0;
    span m_bound;
    instant m_at;
};

/// The borrowed capacity has been returned.
struct reclaim_completed
{
    std::string m_job;
    std::uint32_t m_attempt = 0;
    instant m_at;
};

/// A target was announced to be draining, or to accept work again.
struct target_draining
{
    std::string m_target;
    bool m_draining = true;
    instant m_at;
};

/// New work was assigned to a target.
struct work_placed
{
    std::string m_target;
    std::string m_subject;
    instant m_at;
};

/// One event of a history.
using history_event =
    std::variant<call_invoked, call_answered, job_end_reported, part_started,
                 part_ended, stop_requested, request_executed, settings_adopted,
                 reclaim_requested, reclaim_completed, target_draining,
                 work_placed>;

} // namespace kingcuprudder

#endif
