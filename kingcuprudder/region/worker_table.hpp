#ifndef KINGCUPRUDDER_REGION_WORKER_TABLE_HPP
#define KINGCUPRUDDER_REGION_WORKER_TABLE_HPP

#include <kingcuprudder/region/scheduler_context.hpp>
#include <kingcuprudder/topology/worker.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Bounds of the backoff between claims of one worker.
inline constexpr span initial_claim_backoff(500);
inline constexpr span max_claim_backoff = span::seconds(10);

/// Tracks the claim, the heartbeats and the task lease of each worker.
class worker_table
{
public:
    /// How a report must be applied.
    enum class report_kind
    {
        ignored, ///< From an earlier claim; a new claim is pending.
        partial, ///< A heartbeat: tasks that it does not name are unchanged.
        full,    ///< A claim's answer: tasks that it does not name are gone.
        fenced,  ///< The worker has received a newer epoch.
    };

    explicit worker_table(scheduler_context& context);

    /// Starts an epoch whose first record was committed at `now`. Former owners
    /// may have renewed task leases until then.
    void open(epoch_number epoch, instant now);

    /// Sets the workers that take new work. Other workers stay claimed while
    /// they run tasks.
    void set_listed(const std::vector<worker>& workers, instant now);

    /// Adds a worker that holds tasks, whether it is listed or not.
    void track(const worker_id& id, instant now);

    /// Sends claims that are due. Returns workers whose task lease has expired,
    /// with a margin, since their last report.
    std::vector<worker_id> on_tick(instant now);

    report_kind on_heartbeat(const worker_report& report, instant now);

    /// Whether the call was a claim of this table.
    bool is_claim(call_number call) const { return m_claims.contains(call); }
    report_kind on_claim_answer(const worker_answer& answer, instant now);

    /// Whether commands can be sent to the worker.
    bool claimed(const worker_id& id) const;

    /// Whether the worker can take new work.
    bool usable(const worker_id& id, instant now) const;

    /// The time at which the latest answered claim was sent.
    instant claim_sent_at(const worker_id& id) const;

    /// Called when a command got no answer. The worker gets no new work for 5 s
    /// or until its next report.
    void on_unreachable(const worker_id& id, instant now);

    /// Claims the worker again to get a full report.
    void claim_again(const worker_id& id, instant now);

    /// Stops a task of an attempt that is not active in the state. If the task
    /// holds accelerators, the worker takes no new work until it has stopped.
    void stop_stale_task(const worker_id& id, const attempt_key& attempt,
                         bool holds_accelerators);
    bool is_cleanup(call_number call) const
    {
        return m_cleanups.contains(call);
    }
    void on_cleanup_answer(const worker_answer& answer, instant now);

    /// The interval between heartbeats that keeps the owner's traffic within
    /// its budget, and the task lease that goes with it.
    span heartbeat_interval() const;
    span task_lease() const;

    std::size_t claimed_count() const;

private:
    struct contact
    {
        bool m_listed = false;
        bool m_claimed = false;
        bool m_lost = false;
        std::string m_boot;
        call_number m_claim = 0; ///< The claim in flight, 0 for none.
        instant m_claim_sent_at;
        instant m_answered_claim_sent_at;
        instant m_next_claim;
        retry_backoff m_backoff{initial_claim_backoff, max_claim_backoff};
        span m_interval;
        /// Whether a claim was sent since the worker's last report.
        bool m_claim_unconfirmed = false;
        /// Whether the latest claim granted less than a full lease.
        bool m_short_lease = false;
        /// When the worker's task lease expires, including a margin.
        instant m_lease_expiry;
        instant m_suspect_until;
        /// Tasks to stop that hold accelerators and have not stopped yet.
        std::set<attempt_key> m_stale_tasks;
    };

    contact& contact_of(const worker_id& id, instant now);
    void send_claim(const worker_id& id, contact& with, instant now);
    span lease_to_claim(contact& with, instant now) const;
    void mark_responsive(contact& with, instant now);
    void renew(contact& with, instant now) const;

    scheduler_context& m_context;
    epoch_number m_epoch = 0;
    instant m_opened_at;
    std::size_t m_listed_count = 0;
    std::map<worker_id, contact> m_contacts;
    std::map<call_number, worker_id> m_claims;
    std::map<call_number, attempt_key> m_cleanups;
};

} // namespace kingcuprudder

#endif
