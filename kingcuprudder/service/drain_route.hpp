#ifndef KINGCUPRUDDER_SERVICE_DRAIN_ROUTE_HPP
#define KINGCUPRUDDER_SERVICE_DRAIN_ROUTE_HPP

namespace httplib
{
class Server;
}

namespace kingcuprudder
{

/// Adds POST /drain, with which an operator starts the graceful shutdown of the
/// process. The route is served on the health address only, which callers
/// cannot reach through the load balancer.
void install_drain_route(httplib::Server& server);

} // namespace kingcuprudder

#endif
