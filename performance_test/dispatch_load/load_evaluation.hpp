#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_EVALUATION_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_LOAD_EVALUATION_HPP

#include <performance_test/dispatch_load/load_outcome.hpp>
#include <performance_test/dispatch_load/load_profile.hpp>
#include <performance_test/dispatch_load/simulated_job.hpp>

#include <map>
#include <string>

namespace kingcuprudder::dispatch
{

/// Adds the ends of the jobs to the outcome of a simulation that ended at the
/// given time. Nothing is owed for jobs that crash workers.
void evaluate(const load_profile& profile,
              const std::map<std::string, simulated_job>& jobs, instant now,
              load_outcome& outcome);

} // namespace kingcuprudder::dispatch

#endif
