#ifndef KINGCUPRUDDER_NODE_CLOCKS_HPP
#define KINGCUPRUDDER_NODE_CLOCKS_HPP

#include <kingcuprudder/runtime/clocks.hpp>

namespace kingcuprudder::node
{

using kingcuprudder::boottime_now;
using kingcuprudder::wall_now;

} // namespace kingcuprudder::node

#endif
