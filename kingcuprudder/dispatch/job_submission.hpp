#ifndef KINGCUPRUDDER_DISPATCH_JOB_SUBMISSION_HPP
#define KINGCUPRUDDER_DISPATCH_JOB_SUBMISSION_HPP

#include <kingcuprudder/base/time.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// The resources that a task requires or that a worker has.
struct resources
{
    std::int64_t m_cpu_millis = 0; ///< Thousandths of a core.
    std::int64_t m_memory_mb = 0;
    std::int64_t m_gpus = 0;

    /// Returns how many tasks with this demand fit into these resources, up to
    /// `most`. An amount that is not demanded does not matter, even if more of
    /// it is in use than there is.
    std::int64_t fitting(const resources& demand, std::int64_t most) const
    {
        std::int64_t count = most;
        const auto limit = [&count](std::int64_t available, std::int64_t each)
        {
            if (each > 0)
            {
                count = std::min(count,
                                 std::max<std::int64_t>(0, available) / each);
            }
        };
        limit(m_cpu_millis, demand.m_cpu_millis);
        limit(m_memory_mb, demand.m_memory_mb);
        limit(m_gpus, demand.m_gpus);
        return count;
    }

    /// Returns whether the demand fits into these resources.
    bool covers(const resources& demand) const
    {
        return fitting(demand, 1) == 1;
    }

    /// Returns whether more of an amount is in use than there is.
    bool is_exceeded() const
    {
        return m_cpu_millis < 0 || m_memory_mb < 0 || m_gpus < 0;
    }

    /// Returns what must be added to these resources to cover the demand.
    /// Negative amounts are left over.
    resources missing_for(const resources& demand) const
    {
        const auto missing = [](std::int64_t available, std::int64_t wanted)
        { return wanted > 0 ? wanted - available : 0; };
        return {missing(m_cpu_millis, demand.m_cpu_millis),
                missing(m_memory_mb, demand.m_memory_mb),
                missing(m_gpus, demand.m_gpus)};
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
    /// The declared duration of a task; may be inaccurate.
    span m_estimate = span(0);
    /// Indexes of the steps whose tasks must all be done before this step.
    std::vector<int> m_depends_on = {};
    /// The tasks write checkpoints from which a later run can resume.
    bool m_writes_checkpoints = false;
    /// The tasks work only while all of them run, and they end together.
    bool m_gang = false;
    /// The tasks are slower when they are spread over several racks.
    bool m_same_rack = false;
    /// A label that the worker must have; empty for none.
    std::string m_required_label = {};
    /// The rack that holds the data; empty for none.
    std::string m_data_rack = {};
    /// The maximum number of tasks of the step on one worker; 0 for no limit.
    int m_max_per_worker = 0;
    /// Several copies of a task may run; the first completion counts.
    bool m_speculative = false;
    /// The tasks run until the job is cancelled.
    bool m_persistent = false;
    /// Best-effort tasks, which use only the worker's idle processor time.
    bool m_uses_idle_cpu = false;
    /// The maximum number of tasks that the scheduler may stop at the same
    /// time; 0 for no limit.
    int m_max_unavailable = 0;
    /// The program that the tasks execute; tasks of one image have similar
    /// run times and resource use.
    std::string m_image = {};
    /// The bound on the tail latency of a task that serves requests; zero for
    /// none.
    span m_target_latency = span(0);

    /// Returns the resources that one task reserves on its worker. Tasks that
    /// use idle CPU reserve no cores.
    resources occupied() const
    {
        return {m_uses_idle_cpu ? 0 : m_demand.m_cpu_millis,
                m_demand.m_memory_mb, m_demand.m_gpus};
    }

    friend bool operator==(const job_step&, const job_step&) = default;
};

/// The operators' policy for the jobs of a queue.
struct queue_policy
{
    /// The name of the pool of workers that runs the queue's tasks.
    std::string m_pool;
    int m_priority = 0; ///< 0 is the most urgent.
    int m_max_attempts = 1;
    /// The factor between the job's critical path and its objective.
    double m_stretch = 1;
    /// The time added to the objective for starting the tasks.
    span m_start_allowance;
    /// Starts require a ticket of the advice service.
    bool m_needs_advice = false;

    friend bool operator==(const queue_policy&, const queue_policy&) = default;
};

/// An accepted job as its client submitted it.
struct job_submission
{
    std::string m_id;
    std::string m_account;
    std::string m_queue;
    /// The policy of the queue at the time of acceptance.
    queue_policy m_policy;
    /// Text that is passed to the workers unchanged.
    std::string m_spec;
    std::vector<job_step> m_steps;
    /// The number of repetitions of all steps; 1 for an ordinary job.
    int m_repeats = 1;
    /// The due time of the first repetition; zero for immediately.
    instant m_first_due;
    span m_interval;
    instant m_accepted_at;

    friend bool operator==(const job_submission&,
                           const job_submission&) = default;
};

/// The most tasks that a job may have over all repetitions. The record of its
/// progress must fit into one value of the store.
constexpr std::int64_t max_tasks_per_job = 10'000;

/// Returns whether the job has at least one step and repetition, each step at
/// least one task, and the job at most max_tasks_per_job.
bool has_valid_size(const job_submission& job);

} // namespace kingcuprudder::dispatch

#endif
