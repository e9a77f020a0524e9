#ifndef KINGCUPRUDDER_PLACEMENT_RUNNING_TABLE_HPP
#define KINGCUPRUDDER_PLACEMENT_RUNNING_TABLE_HPP

#include <kingcuprudder/placement/plan.hpp>
#include <kingcuprudder/placement/shape_fitting.hpp>

#include <vector>

namespace kingcuprudder
{

/// Whether the scheduler may stop this job and start it again later. The job
/// must be both preemptible and idempotent.
bool can_be_preempted(const job_spec& spec);

/// A running job in the form that planning uses.
struct running_entry
{
    job_key m_key;
    job_class_id m_class;
    shape m_shape;
    indexed_placement m_placement;
    instant m_placed_at;
    span m_declared_run_time;
    span m_saved_run_time;
    bool m_can_be_preempted = true;
    bool m_stopping = false;
    /// Index of the job's slot in the guarantee layout, or no_slot.
    std::size_t m_slot = no_slot;

    static constexpr std::size_t no_slot = static_cast<std::size_t>(-1);

    /// Run time, including the run time that earlier attempts saved.
    span elapsed(instant now) const
    {
        return now - m_placed_at + m_saved_run_time;
    }

    /// Work lost when the job is stopped now, in accelerator-milliseconds, or
    /// task-milliseconds for jobs without accelerators.
    double lost_work(instant now) const;
};

/// The running jobs with worker indices instead of ids. Kept between passes, so
/// that a pass converts only the jobs that are new.
class running_table
{
public:
    /// Replaces the entries by the running jobs of this pass and returns the
    /// entries of the last pass that no longer run.
    std::vector<running_entry>
    synchronize(const cluster& region, const std::vector<running_job>& running);

    const std::vector<running_entry>& entries() const { return m_entries; }
    std::vector<running_entry>& entries() { return m_entries; }

    /// Removes all entries. Required when the set of workers has changed, as
    /// their worker indices are invalid then.
    void clear() { m_entries.clear(); }

private:
    std::vector<running_entry> m_entries;
};

} // namespace kingcuprudder

#endif
