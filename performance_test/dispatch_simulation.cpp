#include <performance_test/dispatch_load/load_simulation.hpp>
#include <performance_test/dispatch_simulation.hpp>

namespace kingcuprudder::dispatch
{

load_outcome simulate_load(const load_profile& profile, unsigned seed)
{
    return load_simulation(profile, seed).run();
}

} // namespace kingcuprudder::dispatch
