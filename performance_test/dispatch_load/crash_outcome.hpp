#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_CRASH_OUTCOME_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_CRASH_OUTCOME_HPP

#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// What the faults of a simulation did.
struct crash_outcome
{
    int m_crashed_by_tasks = 0; ///< Workers that a task crashed.
    int m_crashed_otherwise = 0;
    int m_cut_off = 0;
    /// The number of starts of crashing tasks after their third crash.
    int m_starts_after_third_crash = 0;
    /// The number of tasks with three such starts.
    int m_exceeded_budgets = 0;
    /// The number of jobs whose crashing task crashed a worker.
    int m_crashing_jobs = 0;
    int m_given_up = 0; ///< Crashing jobs that were failed.
    /// The number of crashes under the jobs that were given up.
    int m_crashes_until_given_up = 0;
    /// The time from the first crash until the job was failed, over all jobs
    /// that were given up.
    double m_seconds_until_given_up = 0;
    /// The jobs without a crashing task that were failed.
    std::vector<std::string> m_failed_good_jobs;
    /// The lost work of the runs on crashed workers and of their gangs.
    double m_lost_core_seconds = 0;

    crash_outcome& operator+=(const crash_outcome& other)
    {
        m_crashed_by_tasks += other.m_crashed_by_tasks;
        m_crashed_otherwise += other.m_crashed_otherwise;
        m_cut_off += other.m_cut_off;
        m_starts_after_third_crash += other.m_starts_after_third_crash;
        m_exceeded_budgets += other.m_exceeded_budgets;
        m_crashing_jobs += other.m_crashing_jobs;
        m_given_up += other.m_given_up;
        m_crashes_until_given_up += other.m_crashes_until_given_up;
        m_seconds_until_given_up += other.m_seconds_until_given_up;
        m_failed_good_jobs.insert(m_failed_good_jobs.end(),
                                  other.m_failed_good_jobs.begin(),
                                  other.m_failed_good_jobs.end());
        m_lost_core_seconds += other.m_lost_core_seconds;
        return *this;
    }
};

} // namespace kingcuprudder::dispatch

#endif
