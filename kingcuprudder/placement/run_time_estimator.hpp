#ifndef KINGCUPRUDDER_PLACEMENT_RUN_TIME_ESTIMATOR_HPP
#define KINGCUPRUDDER_PLACEMENT_RUN_TIME_ESTIMATOR_HPP

#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/base/time.hpp>

#include <map>
#include <utility>

namespace kingcuprudder
{

/// Corrects declared run times by what the jobs of the same account and class
/// really took. Without observations the declared time counts.
class run_time_estimator
{
public:
    /// Learns from a job that ended after this run time.
    void observe(const account_id& account, const job_class_id& job_class,
                 span declared, span actual);

    /// The run time to expect.
    span expected(const account_id& account, const job_class_id& job_class,
                  span declared) const;

    /// How much longer a job with this expected run time runs. The estimate
    /// grows with a job that runs longer than expected.
    static span remaining(span expected, span elapsed);

private:
    /// Mean of ln(actual / declared), recent jobs count more.
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
