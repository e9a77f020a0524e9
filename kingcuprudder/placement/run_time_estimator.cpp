#include <kingcuprudder/placement/run_time_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace kingcuprudder
{

namespace
{

/// Number of observations that the declared time is weighted as.
constexpr double prior_observations = 2;

/// Minimum weight of a new observation.
constexpr double min_weight = 0.05;

/// Bound on a single observed ratio, so that a job that failed at once or hung
/// does not distort the estimate of its class.
constexpr double max_log_ratio = 4;

span scaled(span value, double factor)
{
    return span(std::max<std::int64_t>(
        1, std::llround(static_cast<double>(value.count()) * factor)));
}

} // namespace

void run_time_estimator::observe(const account_id& account,
                                 const job_class_id& job_class, span declared,
                                 span actual)
{
    if (declared.count() <= 0 || actual.count() <= 0)
    {
        return;
    }
    double ratio = std::clamp(std::log(static_cast<double>(actual.count()) /
                                       static_cast<double>(declared.count())),
                              -max_log_ratio, max_log_ratio);
    correction& updated = m_corrections
                              .try_emplace({account, job_class},
                                           correction{prior_observations, 0})
                              .first->second;
    updated.m_count += 1;
    double weight = std::max(1 / updated.m_count, min_weight);
    updated.m_mean += weight * (ratio - updated.m_mean);
}

run_time_estimator::correction
run_time_estimator::correction_for(const account_id& account,
                                   const job_class_id& job_class) const
{
    auto found = m_corrections.find({account, job_class});
    return found == m_corrections.end() ? correction{} : found->second;
}

span run_time_estimator::expected(const account_id& account,
                                  const job_class_id& job_class,
                                  span declared) const
{
    return scaled(declared,
                  std::exp(correction_for(account, job_class).m_mean));
}

span run_time_estimator::remaining(span expected, span elapsed)
{
    return std::max(expected - elapsed, elapsed / 2);
}

} // namespace kingcuprudder
