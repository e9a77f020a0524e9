#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_CLASS_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_CLASS_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>

#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A class of jobs in a load profile.
struct load_class
{
    std::string m_name;
    double m_per_second = 1; ///< The mean arrival rate.
    int m_priority = 0;
    /// The credit of a job of mean size that ends in time.
    double m_credit = 1;
    double m_late_credit = 0; ///< The credit of such a job that ends late.
    double m_stretch = 1;
    span m_start_allowance;
    int m_max_attempts = 3;
    double m_work_ms = 1000;
    double m_work_spread = 0.3;
    /// The maximum relative error of the declared duration.
    double m_estimate_error = 0.2;
    double m_width = 4;
    double m_max_width = 24;
    resources m_per_task; ///< The GPUs are drawn from m_gpus.
    std::vector<int> m_gpus;
    bool m_gang = false;
    double m_same_rack_share = 0;
    double m_data_rack_share = 0;
    double m_checkpoint_share = 0;
    double m_error_share = 0;
};

/// Returns the weight of a demand in cores, by which work is measured.
double core_weight(const resources& demand);
/// Returns the mean demand of a task of the class.
resources mean_demand(const load_class& kind);

} // namespace kingcuprudder::dispatch

#endif
