#include <kingcuprudder/runtime/signals.hpp>
#include <kingcuprudder/service/drain_route.hpp>

#include <httplib.h>

namespace kingcuprudder
{

void install_drain_route(httplib::Server& server)
{
    server.Post("/drain",
                [](const httplib::Request&, httplib::Response& response)
                {
                    request_termination();
                    response.set_content("{\"draining\":true}",
                                         "application/json");
                });
}

} // namespace kingcuprudder
