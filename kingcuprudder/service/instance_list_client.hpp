#ifndef KINGCUPRUDDER_SERVICE_INSTANCE_LIST_CLIENT_HPP
#define KINGCUPRUDDER_SERVICE_INSTANCE_LIST_CLIENT_HPP

#include <kingcuprudder/topology/worker.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Polls the platform's instance list every second for the region's workers.
/// While the list cannot be read, the last one stays in effect.
class instance_list_client
{
public:
    /// Gets the workers that take new work, those that are leaving left out.
    using workers_hook = std::function<void(std::vector<worker>)>;

    /// Reads the list at "ip:port". The hook is called on a thread of this
    /// object whenever the list has changed.
    instance_list_client(const std::string& address, workers_hook on_workers);
    ~instance_list_client();
    instance_list_client(const instance_list_client&) = delete;
    instance_list_client& operator=(const instance_list_client&) = delete;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
