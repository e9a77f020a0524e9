#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_OUTCOME_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_OUTCOME_HPP

#include <performance_test/dispatch_load/crash_outcome.hpp>

#include <map>
#include <string>

namespace kingcuprudder::dispatch
{

/// The outcome of a simulation.
struct load_outcome
{
    struct per_class
    {
        int m_jobs = 0;
        int m_in_time = 0;
        int m_late = 0;
        double m_credit_owed = 0;
        double m_credit_earned = 0;
    };
    std::map<std::string, per_class> m_classes;
    double m_credit_owed = 0;
    double m_credit_earned = 0;
    double m_lost_core_seconds = 0;
    /// The credit earned less the price of the lost work, divided by the credit
    /// of all jobs.
    double m_net_credit_ratio = 0;
    /// The time that planning took on this machine.
    double m_decision_seconds = 0;
    int m_runs = 0;
    int m_stopped_runs = 0;
    /// The number of guaranteed jobs that did not start within the reclaim
    /// bound.
    int m_late_reclaims = 0;
    /// The number of runs that exceeded a worker's capacity or completed a task
    /// a second time, and of tasks that were started three times more after
    /// three workers had crashed under them.
    int m_violations = 0;
    crash_outcome m_crashes;
};

} // namespace kingcuprudder::dispatch

#endif
