#include <kingcuprudder/dispatch/duration_model.hpp>

#include <algorithm>
#include <cmath>

namespace kingcuprudder::dispatch
{

namespace
{

// The declared time is used below this number of observations.
constexpr double min_observations = 12;
// Limits the weight of the history, so that the mean follows changes of the
// work.
constexpr double max_history_weight = 200;
constexpr double min_squared_error = 1e-4;

double log_of(span time)
{
    return std::log(
        static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

double squared(double value)
{
    return value * value;
}

} // namespace

void duration_model::observe(const std::string& queue, span declared,
                             span taken)
{
    queue_history& past = m_queues[queue];
    const double actual = log_of(taken);
    if (past.m_count > 0)
    {
        const double weight = 1 / std::min(past.m_count, max_history_weight);
        past.m_declared_error += weight * (squared(actual - log_of(declared)) -
                                           past.m_declared_error);
        past.m_mean_error +=
            weight * (squared(actual - past.m_mean_log) - past.m_mean_error);
    }
    ++past.m_count;
    past.m_mean_log +=
        (actual - past.m_mean_log) / std::min(past.m_count, max_history_weight);
}

span duration_model::predict(const std::string& queue, span declared) const
{
    const auto found = m_queues.find(queue);
    if (found == m_queues.end() || found->second.m_count < min_observations)
    {
        return declared;
    }
    // Each predictor is weighted by the inverse of its mean squared error.
    const queue_history& past = found->second;
    const double declared_weight =
        1 / std::max(min_squared_error, past.m_declared_error);
    const double mean_weight =
        1 / std::max(min_squared_error, past.m_mean_error);
    const double predicted =
        (declared_weight * log_of(declared) + mean_weight * past.m_mean_log) /
        (declared_weight + mean_weight);
    return span(static_cast<std::int64_t>(std::exp(predicted)));
}

} // namespace kingcuprudder::dispatch
