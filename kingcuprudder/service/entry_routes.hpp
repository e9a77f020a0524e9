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

/// The handlers behind the paths of the caller interface.
struct entry_routes
{
    entry_jobs* m_jobs = nullptr;
    /// Runs a request with the current settings.
    std::function<entry_response(const std::string& body)> m_request;
    /// Returns the current settings; null before they are first loaded.
    std::function<std::shared_ptr<const effective_settings>()> m_settings;
};

/// Adds the paths of the caller interface to a server. The objects that
/// `routes` refers to must outlive the server.
void install_entry_routes(httplib::Server& server, entry_routes routes);

} // namespace kingcuprudder

#endif
