#ifndef UNIT_TESTS_CROWD_CROWD_SCRIPTS_HPP
#define UNIT_TESTS_CROWD_CROWD_SCRIPTS_HPP

#include "hostile_crowd.hpp"

#include <vector>

namespace kingcuprudder
{

/// Returns all crowds that are sent to the callers' port.
std::vector<crowd_script> caller_crowds();

/// Returns the crowds that are sent to a process without a store.
std::vector<crowd_script> lone_process_crowds();

/// Returns the crowds that are sent to the ports of the readiness check and of
/// the operators.
std::vector<crowd_script> monitoring_crowds();

} // namespace kingcuprudder

#endif
