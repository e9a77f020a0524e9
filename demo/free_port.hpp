#ifndef KINGCUPRUDDER_DEMO_FREE_PORT_HPP
#define KINGCUPRUDDER_DEMO_FREE_PORT_HPP

#include <string>

namespace kingcuprudder::demo
{

/// Returns a loopback address "127.0.0.1:port" with an unused port. Each call
/// in one process returns a different port, below the range of ephemeral ports.
std::string free_loopback_address();

} // namespace kingcuprudder::demo

#endif
