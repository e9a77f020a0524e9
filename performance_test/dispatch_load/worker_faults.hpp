#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_WORKER_FAULTS_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_WORKER_FAULTS_HPP

#include <performance_test/dispatch_load/load_profile.hpp>

#include <map>
#include <random>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A fault of one worker that no task causes.
struct worker_fault
{
    int m_worker = 0;      ///< The index of the worker.
    bool m_crashes = true; ///< Else the worker is cut off.
    /// The time until calls to a crashed worker are refused.
    span m_unnoticed = span(0);
    span m_cut_off; ///< How long the worker is cut off.
};

/// Draws the faults of the workers.
class worker_faults
{
public:
    worker_faults(const load_profile& profile, unsigned seed);

    /// Returns the faults that begin in the interval of this length, which
    /// begins this long after the load.
    std::vector<worker_fault> next(span since, span interval);

private:
    double uniform(double low, double high);
    bool happens(double per_second, span interval);
    int any_worker();
    void add_rack_loss(std::vector<worker_fault>& faults);

    const load_profile& m_profile;
    std::mt19937 m_generator;
    /// The time of the next crash, by flapping worker.
    std::map<int, span> m_flapping;
    std::vector<span> m_rack_losses;
};

} // namespace kingcuprudder::dispatch

#endif
