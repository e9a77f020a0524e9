#ifndef PERFORMANCE_TEST_DISPATCH_SIMULATION_HPP
#define PERFORMANCE_TEST_DISPATCH_SIMULATION_HPP

#include <performance_test/dispatch_load/load_outcome.hpp>
#include <performance_test/dispatch_load/load_profile.hpp>

namespace kingcuprudder::dispatch
{

/// Simulates the load in virtual time against the dispatcher alone.
load_outcome simulate_load(const load_profile& profile, unsigned seed);

} // namespace kingcuprudder::dispatch

#endif
