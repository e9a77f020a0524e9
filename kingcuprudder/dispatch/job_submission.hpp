#ifndef KINGCUPRUDDER_DISPATCH_JOB_SUBMISSION_HPP
#define KINGCUPRUDDER_DISPATCH_JOB_SUBMISSION_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// What one task occupies on a worker, or what a worker offers.
struct resources
{
    std::int64_t m_cpu_millis = 0; ///< Thousandths of a core.
    std::int64_t m_memory_mb = 0;
    std::int64_t m_gpus = 0;

    /// Whether the demand fits into these resources.
    bool covers(const resources& demand) const
    {
        return demand.m_cpu_millis <= m_cpu_millis &&
               demand.m_memory_mb <= m_memory_mb && demand.m_gpus <= m_gpus;
    }

    resources& operator+=(const resources& other)
    {
        m_cpu_millis += other.m_cpu_millis;
        m_memory_mb += other.m_memory_mb;
        m_gpus += other.m_gpus;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        m_cpu_millis -= other.m_cpu_millis;
        m_memory_mb -= other.m_memory_mb;
        m_gpus -= other.m_gpus;
        return *this;
    }

    friend resources operator+(resources left, const resources& right)
    {
        return left += right;
    }
    friend resources operator-(resources left, const resources& right)
    {
        return left -= right;
    }
    friend resources operator*(const resources& demand, std::int64_t count)
    {
        return {demand.m_cpu_millis * count, demand.m_memory_mb * count,
                demand.m_gpus * count};
    }
    friend bool operator==(const resources&, const resources&) = default;
};

/// A group of equal tasks of a job.
struct job_step
{
    int m_count = 0;
    resources m_demand;
    /// The declared time that a task works; may be far off.
    span m_estimate = span(0);
    /// Indexes of steps whose tasks must all be done first.
    std::vector<int> m_depends_on = {};
    /// The tasks write checkpoints from which a later run can go on.
    bool m_writes_checkpoints = false;
    /// All tasks must be present together and end together.
    bool m_gang = false;
    /// The tasks work slower when they are spread over several racks.
    bool m_same_rack = false;
    /// A label that the worker must have; empty for none.
    std::string m_required_label = {};
    /// The rack that holds the data; empty for none.
    std::string m_data_rack = {};
    /// The most tasks of the step on one worker; 0 for no limit.
    int m_max_per_worker = 0;
    /// Several copies of a task may run; the first end counts.
    bool m_speculative = false;
    /// The tasks run until the job is cancelled.
    bool m_persistent = false;
    /// The tasks use the processor time that others on the worker leave.
    bool m_uses_idle_cpu = false;
    /// The tasks that may be down at once through the scheduler's own acts;
    /// 0 for no limit.
    int m_max_unavailable = 0;
    /// What the tasks run; tasks of one image behave alike.
    std::string m_image = {};
    /// The bound on a serving task's tail latency; zero for none.
    span m_target_latency = span(0);

    /// What one task occupies on its worker. Filling tasks use cores that
    /// others leave.
    resources occupied() const
    {
        return {m_uses_idle_cpu ? 0 : m_demand.m_cpu_millis,
                m_demand.m_memory_mb, m_demand.m_gpus};
    }

    friend bool operator==(const job_step&, const job_step&) = default;
};

/// How the operators treat the jobs of a queue.
struct queue_policy
{
    /// The name of the pool of workers that runs the queue's tasks.
    std::string m_pool;
    int m_priority = 0; ///< 0 is the most urgent.
    int m_max_attempts = 1;
    /// The objective is this many times the job's longest chain of work.
    double m_stretch = 1;
    /// Allowed on top of the stretched chain.
    span m_start_allowance;
    /// Placement needs a ticket of the advice service.
    bool m_needs_advice = false;

    friend bool operator==(const queue_policy&, const queue_policy&) = default;
};

/// A job as it was accepted.
struct job_submission
{
    std::string m_id;
    std::string m_account;
    std::string m_queue;
    /// The policy of the queue when the job was accepted.
    queue_policy m_policy;
    /// Opaque text for the workers.
    std::string m_spec;
    std::vector<job_step> m_steps;
    /// How often the steps run; 1 for an ordinary job.
    int m_repeats = 1;
    /// When the first repetition is due; zero for at once.
    instant m_first_due;
    span m_interval;
    instant m_accepted_at;

    friend bool operator==(const job_submission&,
                           const job_submission&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
