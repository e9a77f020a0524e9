#ifndef SOAK_DEPLOYMENT_HPP
#define SOAK_DEPLOYMENT_HPP

#include <kingcuprudder/base/time.hpp>

#include <demo/child_process.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// The settings of one process that differ between processes.
struct process_profile
{
    std::string m_store_address; ///< "ip:port".
    double m_processor_share = 1;
    /// Memory of the instance in MB; nothing for the default.
    std::optional<int> m_memory_mb = std::nullopt;
    /// File descriptors of the instance; nothing for the default.
    std::optional<int> m_max_descriptors = std::nullopt;
    std::string m_zone = "zone"; ///< Its availability zone.
};

/// The settings that all processes share.
struct process_times
{
    span m_worker_lease = span(6000);
    span m_shutdown_grace = span::seconds(3);
    span m_status_retention = span::seconds(120);
    span m_worker_heartbeat = span(1500);
};

/// Starts kcr_node processes on loopback ports and kills, terminates or pauses
/// them.
class deployment
{
public:
    /// Writes the settings files of the processes to the folder, which also
    /// gets their logs. Starts no process yet.
    deployment(std::string program, std::string folder,
               const std::string& store_address, int nodes,
               span worker_lease = span(6000),
               span shutdown_grace = span::seconds(3));
    deployment(std::string program, std::string folder,
               const std::vector<process_profile>& profiles,
               const process_times& times);

    int size() const { return static_cast<int>(m_nodes.size()); }
    /// Returns the address for callers as "ip:port".
    const std::string& caller_address(int node) const;
    /// Returns the address for checks of the readiness as "ip:port".
    const std::string& readiness_address(int node) const;
    /// Returns the address for operators as "ip:port".
    const std::string& metrics_address(int node) const;
    bool is_running(int node) const
    {
        return m_nodes[node].m_process != nullptr;
    }

    /// Returns the id of the running process.
    pid_t process_id(int node) const { return m_nodes[node].m_process->pid(); }

    void start(int node);
    /// Ends the process with SIGKILL.
    void kill(int node);
    /// Sends SIGTERM; the process exits after its shutdown grace time.
    void terminate(int node);
    /// Whether the process got SIGTERM since its start.
    bool is_terminating(int node) const { return m_nodes[node].m_terminating; }

    /// Returns the time since the process last got SIGTERM, over all of its
    /// restarts. Callable from any thread.
    span time_since_signal(int node) const;
    /// Returns when the process was last started or sent SIGTERM. Callable from
    /// any thread.
    instant undisturbed_since(int node) const;
    /// Starts the process again if it was killed or has exited after
    /// terminate(). Returns whether it was started.
    bool restart_if_ended(int node);
    /// Sends SIGHUP, which has the process read its settings file.
    void reload(int node);
    /// Waits until the process has exited. Returns false on timeout.
    bool wait_for_exit(int node, span timeout);
    /// Kills the process if it still runs when its shutdown grace time is over,
    /// as the platform does. Returns whether it did.
    bool kill_after_grace(int node);
    /// Sends SIGSTOP.
    void pause(int node);
    /// Sends SIGCONT.
    void resume(int node);

private:
    struct node_process
    {
        std::string m_caller_address;
        std::string m_readiness_address;
        std::string m_metrics_address;
        std::string m_settings_path;
        std::unique_ptr<demo::child_process> m_process;
        bool m_terminating = false;
        /// Read by the callers' threads.
        std::atomic<std::int64_t> m_signalled_at_ms = 0;
        std::atomic<std::int64_t> m_started_at_ms = 0;
    };

    std::string m_program;
    std::string m_folder;
    process_times m_times;
    std::deque<node_process> m_nodes;
};

} // namespace kingcuprudder::soak

#endif
