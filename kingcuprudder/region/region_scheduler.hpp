#ifndef KINGCUPRUDDER_REGION_REGION_SCHEDULER_HPP
#define KINGCUPRUDDER_REGION_REGION_SCHEDULER_HPP

#include <kingcuprudder/region/job_call_handler.hpp>
#include <kingcuprudder/region/permit_call_handler.hpp>
#include <kingcuprudder/region/region_statistics.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Schedules the jobs of a region while this process owns it. Each decision is
/// appended as a record and takes effect when the record is committed.
class region_scheduler
{
public:
    region_scheduler(const region_state& state, region_log& log,
                     effect_sink& effects, const effective_settings& settings,
                     placement_policy& policy, std::mt19937_64& random);
    region_scheduler(const region_scheduler&) = delete;
    region_scheduler& operator=(const region_scheduler&) = delete;

    /// Called after the epoch's first record was committed. Claims the workers
    /// and resumes each job from its recorded phase.
    void open(const std::vector<worker>& workers, instant now);

    void on_settings(instant now);
    void on_workers(const std::vector<worker>& workers, instant now);
    void on_caller_call(const caller_call& call, instant now);
    void on_heartbeat(const worker_report& report, instant now);
    void on_worker_answer(const worker_answer& answer, instant now);

    /// Called after a record was committed and applied to the state.
    void on_committed(const log_record& record, instant now);

    void on_tick(instant now);

    /// Plans if something has changed since the last plan; called once at the
    /// end of each event.
    void plan_if_needed(instant now);

    /// Answers all waiting calls with not_owner.
    void step_down(const std::string& owner);

    /// Whether a worker has reported a newer epoch.
    bool fenced() const { return m_fenced; }

    /// Stops starting new attempts; used during shutdown.
    void stop_planning() { m_planning = false; }

    std::string dump() const;

    /// The region's statistics without epoch and settings revision, which the
    /// owner adds.
    region_statistics statistics() const;

private:
    void committed(const epoch_started&, instant) {}
    void committed(const job_accepted& record, instant now);
    void committed(const job_placed& record, instant now);
    void committed(const job_started& record, instant now);
    void committed(const job_stopping& record, instant now);
    void committed(const job_released& record, instant now);
    void committed(const job_ended& record, instant now);
    void committed(const request_permitted& record, instant now);
    void committed(const request_ended& record, instant now);
    void committed(const worker_set_aside& record, instant now);
    void committed(const worker_restored& record, instant now);

    void explain(call_number call, const explain_job& request);
    void on_report(const worker_report& report, worker_table::report_kind kind,
                   instant now);
    void on_part_ended(const worker_id& worker, const job_key& job,
                       bool succeeded);
    void quarantine(const worker_id& worker);
    void restore_workers(instant now);
    void update_usable(instant now);
    void configure_policy();
    void plan_now(instant now);
    void apply_plan(const plan& planned, instant now);
    std::vector<queued_job> queue_view(instant now) const;
    std::vector<running_job> running_view() const;

    scheduler_context m_context;
    placement_policy& m_policy;
    region_capacity m_capacity;
    worker_table m_workers;
    gang_table m_gangs;
    job_call_handler m_jobs;
    permit_call_handler m_permits;

    bool m_fenced = false;
    bool m_planning = true;
    bool m_plan_needed = false;
    bool m_policy_outdated = true;
    instant m_now; ///< The time of the current event.
    instant m_next_plan;
    /// For jobs whose prepare failed, the earliest time of the next attempt and
    /// the backoff.
    std::map<job_key, std::pair<instant, retry_backoff>> m_prepare_backoffs;
    /// Distinct jobs that failed on a worker since its last success.
    std::map<worker_id, std::set<job_key>> m_failures;
    /// Workers with an uncommitted record that starts or ends their quarantine.
    std::set<worker_id> m_pending_workers;
    std::map<job_key, wait_reason> m_wait_reasons;
    decision_counts m_decisions;
};

} // namespace kingcuprudder

#endif
