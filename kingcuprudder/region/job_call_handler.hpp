#ifndef KINGCUPRUDDER_REGION_JOB_CALL_HANDLER_HPP
#define KINGCUPRUDDER_REGION_JOB_CALL_HANDLER_HPP

#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/region/gang_table.hpp>
#include <kingcuprudder/region/region_capacity.hpp>
#include <kingcuprudder/region/waiting_call_table.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Handles callers' submissions, queries and cancellations of jobs, and
/// enforces the deadlines of jobs.
class job_call_handler
{
public:
    job_call_handler(scheduler_context& context, gang_table& gangs,
                     const placement_policy& policy,
                     const region_capacity& capacity);

    void on_submit(call_number call, const submit_job& request, instant now);
    void on_query(call_number call, const query_job& request, instant now);
    void on_list(call_number call, const list_jobs& request);
    void on_cancel(call_number call, const cancel_job& request, instant now);

    void on_accepted(const job_key& job);
    void on_placed(const job_key& job, instant now);
    void on_stopping(const job_key& job);
    void on_queued_again(const job_key& job, instant now);
    void on_ended(const job_key& job);

    /// Whether a record that places or ends this queued job is uncommitted.
    bool pending(const job_key& job) const { return m_pending.contains(job); }

    /// Appends the record that places a queued job.
    void place(const job_entry& entry, const placement& where, instant now);

    /// Ends jobs whose deadline has passed and answers calls whose wait limit
    /// has expired.
    void on_tick(instant now);

    /// Answers all calls with not_owner.
    void step_down(const std::string& owner);

private:
    using call_table = waiting_call_table<job_key>;

    struct submission
    {
        job_spec m_spec;
        record_ticket m_ticket = 0;
    };

    std::optional<error> refusal(const job_spec& spec, instant now) const;
    std::optional<error> limit_refusal(const job_spec& spec) const;
    void cancel(const job_entry& entry, instant now);
    void end_queued(const job_entry& entry, job_outcome outcome, instant now);
    void remove_submission(const job_key& job);
    void expire_submission(const call_table::waiting_call& call);
    void expire_cancellation(const call_table::waiting_call& call, instant now);
    void expire_deadlines(instant now);
    void answer_status(call_number call, const job_entry& entry);
    void refuse(call_number call, error_code code, std::string message,
                verdict ran);

    scheduler_context& m_context;
    gang_table& m_gangs;
    const placement_policy& m_policy;
    const region_capacity& m_capacity;

    call_table m_submitting;
    call_table m_querying;
    call_table m_cancelling;
    /// Jobs whose acceptance record is uncommitted.
    std::map<job_key, submission> m_submissions;
    std::map<account_id, std::size_t> m_submitted_by;
    /// Queued jobs with an uncommitted record that places or ends them.
    std::map<job_key, record_ticket> m_pending;
    /// Jobs to stop as soon as their placement is committed.
    std::map<job_key, stop_reason> m_stop_when_placed;
};

/// Largest payload of a job in bytes. It keeps the job's record within the size
/// limit of one stored value.
inline constexpr std::size_t max_payload_bytes = std::size_t{800} * 1024;

} // namespace kingcuprudder

#endif
