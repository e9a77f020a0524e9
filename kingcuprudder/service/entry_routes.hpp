#ifndef KINGCUPRUDDER_SERVICE_ENTRY_ROUTES_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_ROUTES_HPP

#include <kingcuprudder/service/entry_jobs.hpp>
#include <kingcuprudder/service/entry_requests.hpp>

#include <functional>
#include <memory>

namespace httplib
{
class Server;
}

namespace kingcuprudder
{

/// What the paths of the caller interface lead to.
struct entry_routes
{
    entry_jobs* m_jobs = nullptr;
    /// Runs a request; the settings are the ones in force.
    std::function<entry_response(const std::string& body)> m_request;
    /// The settings in force; null before the first ones were read.
    std::function<std::shared_ptr<const effective_settings>()> m_settings;
};

/// Adds the paths of the caller interface to a server. What the routes point
/// to must outlive it.
void install_entry_routes(httplib::Server& server, entry_routes routes);

} // namespace kingcuprudder

#endif
