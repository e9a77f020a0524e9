#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_SIMULATED_JOB_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_SIMULATED_JOB_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>

#include <performance_test/dispatch_load/load_class.hpp>

#include <optional>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A job of a simulated load.
struct simulated_job
{
    job_submission m_submission;
    const load_class* m_class = nullptr;
    std::vector<double> m_work_ms; ///< By step.
    double m_value = 0;
    bool m_guaranteed = false;
    std::optional<instant> m_started_at;
    std::optional<instant> m_ended;
    bool m_completed = false;
    /// The index of the task that crashes its workers.
    std::optional<int> m_crashing_task;
    int m_crashes = 0; ///< Crashes of workers by that task.
    std::optional<instant> m_first_crash;
    int m_starts_after_third_crash = 0;
};

} // namespace kingcuprudder::dispatch

#endif
