#ifndef KINGCUPRUDDER_DISPATCH_DURATION_MODEL_HPP
#define KINGCUPRUDDER_DISPATCH_DURATION_MODEL_HPP

#include <kingcuprudder/base/time.hpp>

#include <map>
#include <string>

namespace kingcuprudder::dispatch
{

/// Predicts how long tasks work. Declared times may be far off, so they are
/// weighed against what tasks of the same queue took before.
class duration_model
{
public:
    /// A task of the queue with this declared time took that long.
    void observe(const std::string& queue, span declared, span taken);
    span predict(const std::string& queue, span declared) const;

private:
    struct queue_history
    {
        double m_count = 0;
        double m_mean_log = 0;       ///< Of the times taken.
        double m_declared_error = 0; ///< Mean squared, of logarithms.
        double m_mean_error = 0;     ///< The same for the mean as prediction.
    };
    std::map<std::string, queue_history> m_queues;
};

} // namespace kingcuprudder::dispatch

#endif
