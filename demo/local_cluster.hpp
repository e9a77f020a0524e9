#ifndef KINGCUPRUDDER_DEMO_LOCAL_CLUSTER_HPP
#define KINGCUPRUDDER_DEMO_LOCAL_CLUSTER_HPP

#include <kingcuprudder/base/time.hpp>

#include <demo/child_process.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <vector>

namespace kingcuprudder::demo
{

/// The configuration of a local deployment.
struct local_cluster_options
{
    std::string m_binary_folder; ///< Contains the programs.
    std::string m_work_folder;   ///< For settings files and logs.
    std::string m_settings_tree; ///< JSON text for the store.
    std::string m_region;
    std::vector<std::string> m_zones;
    std::string m_service;
    unsigned m_entries = 2;
    unsigned m_schedulers = 2;
    unsigned m_workers = 8;
    unsigned m_workers_per_rack = 4;
    unsigned m_accelerators = 8;
    unsigned m_cores = 64;
    unsigned m_memory_mb = 262144;
    unsigned m_minions = 4;
};

/// One process of the deployment and the addresses it listens on.
struct member_process
{
    std::string m_name;
    child_process m_process;
    std::string m_http_address;
    std::string m_health_address; ///< Empty for stand-ins.
};

/// A deployment on the loopback interface: stand-ins of the platform,
/// schedulers, entry processes, workers and minions, each a separate process.
class local_cluster
{
public:
    explicit local_cluster(local_cluster_options options);

    /// Starts all processes and waits until a scheduler owns the region and
    /// every entry process is healthy. Throws std::runtime_error on timeout.
    void start(span timeout = span::seconds(20));

    const std::string& store_address() const { return m_store_address; }
    const std::string& instance_list_address() const { return m_list_address; }
    const std::string& entry_address(std::size_t index) const
    {
        return m_entries[index].m_http_address;
    }

    member_process& store() { return m_store.front(); }
    std::vector<member_process>& entries() { return m_entries; }
    std::vector<member_process>& schedulers() { return m_schedulers; }
    const std::vector<member_process>& schedulers() const
    {
        return m_schedulers;
    }
    std::vector<member_process>& workers() { return m_workers; }
    std::vector<member_process>& minions() { return m_minions; }

    /// Returns the index of the scheduler that owns the region, or the number
    /// of schedulers if none does.
    std::size_t owner_index() const;

    /// Starts another scheduler or entry process under a new instance name,
    /// like a replacement instance.
    void add_scheduler();
    void add_entry();

    /// Replaces the settings tree in the store by compare-and-swap.
    void replace_settings_tree(const std::string& tree) const;

    /// Sets the faults of the store stand-in.
    void set_store_faults(const nlohmann::json& faults) const;

    /// Returns the starts and ends that all workers have recorded.
    nlohmann::json worker_history() const;

    /// Returns the runs that all minions have recorded.
    nlohmann::json minion_history() const;

private:
    std::string program(const std::string& name) const;
    std::string log_file(const std::string& name) const;
    std::string write_process_settings(const nlohmann::json& settings) const;
    member_process start_daemon(const std::string& program_name,
                                const std::string& instance,
                                const std::string& zone) const;
    void start_platform();
    void start_workers();
    void start_minions();
    void wait_for_stand_ins() const;
    void register_instances() const;
    const std::string& zone_of(std::size_t index) const;

    local_cluster_options m_options;
    std::string m_store_address;
    std::string m_list_address;
    std::vector<member_process> m_store;
    std::vector<member_process> m_list;
    std::vector<member_process> m_schedulers;
    std::vector<member_process> m_entries;
    std::vector<member_process> m_workers;
    std::vector<member_process> m_minions;
    unsigned m_started_schedulers = 0;
    unsigned m_started_entries = 0;
};

/// Polls until the condition holds. Returns false on timeout.
bool wait_until(const std::function<bool()>& condition, span timeout);

} // namespace kingcuprudder::demo

#endif
