#ifndef KINGCUPRUDDER_DISPATCH_DURATION_MODEL_HPP
#define KINGCUPRUDDER_DISPATCH_DURATION_MODEL_HPP

#include <kingcuprudder/base/time.hpp>

#include <map>
#include <string>

namespace kingcuprudder::dispatch
{

/// Predicts the duration of tasks. Declared times may be inaccurate (by up to
/// 90%), so they are combined with the mean duration of earlier tasks of the
/// same queue, each weighted by its error.
class duration_model
{
public:
    /// Records the duration of a task of the queue and its declared time.
    void observe(const std::string& queue, span declared, span taken);
    span predict(const std::string& queue, span declared) const;

private:
    struct queue_history
    {
        double m_count = 0;
        double m_mean_log = 0; ///< The mean of the logarithms of the times.
        /// The mean squared error of the logarithm of the declared time.
        double m_declared_error = 0;
        /// The mean squared error of m_mean_log as a prediction.
        double m_mean_error = 0;
    };
    std::map<std::string, queue_history> m_queues;
};

} // namespace kingcuprudder::dispatch

#endif
