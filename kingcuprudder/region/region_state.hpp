#ifndef KINGCUPRUDDER_REGION_REGION_STATE_HPP
#define KINGCUPRUDDER_REGION_REGION_STATE_HPP

#include <kingcuprudder/region/job_entry.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// How long ended jobs and requests are retained for repeated calls.
inline constexpr span retention_time = span::hours(24);

/// A region's state, which results from the records applied so far. Two states
/// that applied the same records are equal. Indices keep the cost of each
/// lookup independent of the number of ended jobs.
class region_state
{
public:
    using job_map = std::map<job_key, job_entry>;
    using timed_jobs = std::set<std::pair<instant, job_key>>;
    using timed_requests = std::set<std::pair<instant, request_key>>;

    /// Applies one committed record. Ended jobs and requests that are older
    /// than retention_time at the record's time are dropped.
    void apply(const log_record& record);

    /// Records that rebuild this state when applied to an empty one.
    std::vector<log_record> to_records() const;

    epoch_number epoch() const { return m_epoch.m_epoch; }

    /// The job with this key, or null.
    const job_entry* find_job(const job_key& key) const;
    const permit_entry* find_permit(const request_key& key) const;

    const job_map& jobs() const { return m_jobs; }

    /// Queued jobs in the order of their acceptance.
    const timed_jobs& queued() const { return m_queued; }
    std::size_t queued_of(const account_id& account) const;

    /// Jobs that hold accelerators.
    const std::set<job_key>& active() const { return m_active; }

    /// Jobs that have not ended and have a deadline, earliest first.
    const timed_jobs& deadlines() const { return m_deadlines; }

    /// Requests without an outcome, earliest deadline first.
    const timed_requests& open_permits() const { return m_open_permits; }

    const std::map<worker_id, quarantine_entry>& quarantines() const
    {
        return m_quarantines;
    }

    friend bool operator==(const region_state&, const region_state&) = default;

private:
    void apply_one(const epoch_started& record);
    void apply_one(const job_accepted& record);
    void apply_one(const job_placed& record);
    void apply_one(const job_started& record);
    void apply_one(const job_stopping& record);
    void apply_one(const job_released& record);
    void apply_one(const job_ended& record);
    void apply_one(const request_permitted& record);
    void apply_one(const request_ended& record);
    void apply_one(const worker_set_aside& record);
    void apply_one(const worker_restored& record);

    job_entry& job_of(const job_key& key, std::uint32_t attempt);
    void enqueue(const job_entry& entry);
    void dequeue(const job_entry& entry);
    void prune(instant now);

    epoch_started m_epoch;
    job_map m_jobs;
    timed_jobs m_queued;
    std::map<account_id, std::size_t> m_queued_counts;
    std::set<job_key> m_active;
    timed_jobs m_deadlines;
    timed_jobs m_ended;
    std::map<request_key, permit_entry> m_permits;
    timed_requests m_open_permits;
    timed_requests m_ended_permits;
    std::map<worker_id, quarantine_entry> m_quarantines;
};

} // namespace kingcuprudder

#endif
