#ifndef KINGCUPRUDDER_PLACEMENT_RUN_TIME_ESTIMATOR_HPP
#define KINGCUPRUDDER_PLACEMENT_RUN_TIME_ESTIMATOR_HPP

#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/base/time.hpp>

#include <map>
#include <utility>

namespace kingcuprudder
{

/// Corrects declared run times by the actual run times of jobs of the same
/// account and class. Without observations it returns the declared time.
class run_time_estimator
{
public:
    /// Updates the correction with the actual run time of a completed job.
    /// Ignores times that are not positive.
    void observe(const account_id& account, const job_class_id& job_class,
                 span declared, span actual);

    /// The expected run time of a job with this declared run time.
    span expected(const account_id& account, const job_class_id& job_class,
                  span declared) const;

    /// The expected remaining run time of a job, at least half of the elapsed
    /// time, so that the estimate grows once a job runs longer than expected.
    static span remaining(span expected, span elapsed);

private:
    /// Mean of ln(actual / declared) with a higher weight of recent jobs.
    struct correction
    {
        double m_count = 0;
        double m_mean = 0;
    };

    correction correction_for(const account_id& account,
                              const job_class_id& job_class) const;

    std::map<std::pair<account_id, job_class_id>, correction> m_corrections;
};

} // namespace kingcuprudder

#endif
