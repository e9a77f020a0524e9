#ifndef KINGCUPRUDDER_SERVICE_INSTANCE_LIST_CLIENT_HPP
#define KINGCUPRUDDER_SERVICE_INSTANCE_LIST_CLIENT_HPP

#include <kingcuprudder/topology/worker.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Polls the platform's instance list every second for the workers of the
/// region. While the list cannot be read, the last one remains in effect.
class instance_list_client
{
public:
    /// Receives the workers that accept new work; draining workers are
    /// excluded.
    using workers_hook = std::function<void(std::vector<worker>)>;

    /// Reads the list at "ip:port". The hook is called on an internal thread
    /// whenever the list has changed.
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
