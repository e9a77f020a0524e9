#ifndef KINGCUPRUDDER_DEMO_FREE_PORT_HPP
#define KINGCUPRUDDER_DEMO_FREE_PORT_HPP

#include <string>

namespace kingcuprudder::demo
{

/// A loopback address "127.0.0.1:port" that nothing listens on. Each call in
/// one process gives another port, below the range of outgoing connections.
std::string free_loopback_address();

} // namespace kingcuprudder::demo

#endif
