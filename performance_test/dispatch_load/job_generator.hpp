#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_JOB_GENERATOR_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_JOB_GENERATOR_HPP

#include <performance_test/dispatch_load/load_profile.hpp>
#include <performance_test/dispatch_load/simulated_job.hpp>

#include <random>
#include <string>

namespace kingcuprudder::dispatch
{

/// Draws the arrivals and the jobs of a load.
class job_generator
{
public:
    job_generator(const load_profile& profile, unsigned seed);

    /// Returns whether a job of the class arrives in an interval of this
    /// length.
    bool has_arrival(const load_class& kind, span since, span interval);
    simulated_job next(const load_class& kind, const queue_policy& policy,
                       const std::string& id, instant now);

private:
    double uniform(double low, double high);
    /// Draws from the log-normal distribution with this mean and relative
    /// spread.
    double lognormal(double mean, double spread);
    job_step next_step(const load_class& kind, double work_ms, int count,
                       int gpus);
    void choose_crashing_task(simulated_job& job);

    const load_profile& m_profile;
    std::mt19937 m_generator;
    /// Separate, so that the faults leave the load as it is.
    std::mt19937 m_fault_generator;
};

} // namespace kingcuprudder::dispatch

#endif
