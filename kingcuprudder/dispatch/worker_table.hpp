#ifndef KINGCUPRUDDER_DISPATCH_WORKER_TABLE_HPP
#define KINGCUPRUDDER_DISPATCH_WORKER_TABLE_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/task_ref.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace kingcuprudder::dispatch
{

/// A worker as the dispatcher believes it to be.
struct worker_entry
{
    worker_description m_description;
    /// The platform's list names it.
    bool m_listed = false;
    /// It has answered a renewal under the current fence in this life.
    bool m_synced = false;
    /// The last call to it was answered.
    bool m_reachable = true;
    instant m_last_answer;
    instant m_last_heartbeat;
    /// Everything it holds has ended by then unless a later renewal reached it.
    instant m_lease_end;
    /// Ends up to this number are known and stored.
    std::int64_t m_acknowledged = 0;
    std::int64_t m_last_completion = 0;
    /// Ends that are applied but not stored: number to job and version.
    std::map<std::int64_t, std::pair<std::string, std::int64_t>>
        m_unstored_completions;
    /// Resources of the runs that the worker holds or may hold.
    resources m_allocated;
    /// Of these, runs that are being stopped.
    resources m_stopping;
    /// Resources of assigned runs whose start has not been sent.
    resources m_reserved;
    std::set<task_ref> m_tasks;
    /// Jobs that failed here since a task last ended well.
    std::set<std::string> m_failed_jobs;
    instant m_last_failure;
    /// Gets no work before this time.
    instant m_quarantined_until;

    const std::string& id() const { return m_description.m_id; }
    /// What a new assignment may use; counts runs that are stopping as gone.
    resources plannable_capacity() const
    {
        return m_description.m_capacity - m_allocated - m_reserved + m_stopping;
    }
    /// What a start that is sent now may use.
    resources free_capacity() const
    {
        return m_description.m_capacity - m_allocated;
    }
};

} // namespace kingcuprudder::dispatch

#endif
