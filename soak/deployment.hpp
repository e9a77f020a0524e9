#ifndef SOAK_DEPLOYMENT_HPP
#define SOAK_DEPLOYMENT_HPP

#include <demo/child_process.hpp>

#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// Real kcr_node processes on loopback ports, started and hurt from outside.
class deployment
{
public:
    /// The program's path, a folder for settings and logs, and the store.
    deployment(std::string program, std::string folder,
               const std::string& store_address, int nodes);

    int size() const { return static_cast<int>(m_nodes.size()); }
    /// "ip:port" for callers.
    const std::string& caller_address(int node) const;
    bool is_running(int node) const
    {
        return m_nodes[node].m_process != nullptr;
    }

    void start(int node);
    void kill(int node);
    /// Asks for a graceful end; the process is still there for its grace time.
    void terminate(int node);
    /// Starts a process again whose graceful end is over.
    bool restart_if_ended(int node);
    void pause(int node);
    void resume(int node);

private:
    struct one_node
    {
        std::string m_caller_address;
        std::string m_settings_path;
        std::unique_ptr<demo::child_process> m_process;
        bool m_leaving = false;
    };

    std::string m_program;
    std::string m_folder;
    std::vector<one_node> m_nodes;
};

} // namespace kingcuprudder::soak

#endif
