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

/// Bounds for the time between claims of one worker.
inline constexpr span claim_retry_first(500);
inline constexpr span claim_retry_longest = span::seconds(10);

/// The owner's contact with each worker: claims, heartbeats and task leases.
class worker_table
{
public:
    /// What a report says about the worker itself.
    enum class report_kind
    {
        ignored, ///< From an earlier claim; a new claim is under way.
        partial, ///< A heartbeat: tasks that it does not name are unchanged.
        full,    ///< A claim's answer: tasks that it does not name are gone.
        fenced,  ///< The worker knows a newer owner.
    };

    explicit worker_table(scheduler_context& context);

    /// Starts for an epoch whose first record was committed at `now`. Former
    /// owners can have renewed task leases until then.
    void open(epoch_number epoch, instant now);

    /// The workers that take new work. Others stay in contact while they run
    /// tasks.
    void set_listed(const std::vector<worker>& workers, instant now);

    /// Keeps contact with a worker that holds tasks, listed or not.
    void track(const worker_id& id, instant now);

    /// Sends claims that are due. Returns workers whose task lease has
    /// certainly run out since they were last heard.
    std::vector<worker_id> on_tick(instant now);

    report_kind on_heartbeat(const worker_report& report, instant now);

    /// Whether the call was a claim of this table.
    bool is_claim(call_number call) const { return m_claims.contains(call); }
    report_kind on_claim_answer(const worker_answer& answer, instant now);

    /// Whether commands can be sent to the worker.
    bool claimed(const worker_id& id) const;

    /// Whether the worker can take new work.
    bool usable(const worker_id& id, instant now) const;

    /// When the latest answered claim was sent.
    instant claim_sent_at(const worker_id& id) const;

    /// A command got no answer; the worker gets no new work for a while.
    void on_unreachable(const worker_id& id, instant now);

    /// Asks the worker again for everything that it holds.
    void reclaim(const worker_id& id, instant now);

    /// Stops a task that the state does not know. The worker takes no new
    /// work until that is done.
    void stop_unknown(const worker_id& id, const attempt_key& attempt,
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
        retry_backoff m_backoff{claim_retry_first, claim_retry_longest};
        span m_interval;
        /// Whether a claim was sent since the worker was last heard.
        bool m_claim_unheard = false;
        bool m_short_lease = false; ///< The latest claim gave less than all.
        /// When the worker's task lease has certainly run out.
        instant m_lease_over;
        instant m_suspect_until;
        /// Unknown tasks that still have to stop.
        std::set<attempt_key> m_unknown;
    };

    contact& contact_of(const worker_id& id, instant now);
    void send_claim(const worker_id& id, contact& with, instant now);
    span lease_to_claim(contact& with, instant now) const;
    void note_alive(contact& with, instant now);
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
