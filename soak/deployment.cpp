#include <kingcuprudder/node/clocks.hpp>

#include <demo/free_port.hpp>
#include <nlohmann/json.hpp>
#include <soak/deployment.hpp>

#include <algorithm>
#include <csignal>
#include <fstream>

namespace kingcuprudder::soak
{

namespace
{

constexpr double millis_per_second = 1000;

double seconds_of(span time)
{
    return static_cast<double>(time.count()) / millis_per_second;
}

} // namespace

deployment::deployment(std::string program, std::string folder,
                       const std::string& store_address, int nodes,
                       span worker_lease, span shutdown_grace)
    : deployment(std::move(program), std::move(folder),
                 std::vector<process_profile>(
                     static_cast<std::size_t>(nodes),
                     process_profile{.m_store_address = store_address}),
                 process_times{.m_worker_lease = worker_lease,
                               .m_shutdown_grace = shutdown_grace})
{
}

deployment::deployment(std::string program, std::string folder,
                       const std::vector<process_profile>& profiles,
                       const process_times& times)
    : m_program(std::move(program)), m_folder(std::move(folder)), m_times(times)
{
    for (const process_profile& profile : profiles)
    {
        const std::size_t index = m_nodes.size();
        node_process& node = m_nodes.emplace_back();
        node.m_caller_address = demo::free_loopback_address();
        node.m_readiness_address = demo::free_loopback_address();
        node.m_metrics_address = demo::free_loopback_address();
        node.m_settings_path =
            m_folder + "/node-" + std::to_string(index) + ".json";
        nlohmann::json settings{
            {"name", "node-" + std::to_string(index)},
            {"availability_zone", profile.m_zone},
            {"caller_address", node.m_caller_address},
            {"readiness_address", node.m_readiness_address},
            {"metrics_address", node.m_metrics_address},
            {"store_address", profile.m_store_address},
            {"processor_share", profile.m_processor_share},
            {"worker_lease_ms", times.m_worker_lease.count()},
            {"worker_heartbeat_ms", times.m_worker_heartbeat.count()},
            {"worker_stop_ms", 400},
            {"reclaim_ms", 2900},
            {"distance_factor", 3},
            {"restore_ms", 100},
            {"status_s", seconds_of(times.m_status_retention)},
            {"shutdown_grace_s", seconds_of(times.m_shutdown_grace)}};
        if (profile.m_memory_mb)
        {
            settings["memory_mb"] = *profile.m_memory_mb;
        }
        if (profile.m_max_descriptors)
        {
            settings["max_descriptors"] = *profile.m_max_descriptors;
        }
        std::ofstream(node.m_settings_path) << settings.dump();
    }
}

const std::string& deployment::caller_address(int node) const
{
    return m_nodes[node].m_caller_address;
}

const std::string& deployment::readiness_address(int node) const
{
    return m_nodes[node].m_readiness_address;
}

const std::string& deployment::metrics_address(int node) const
{
    return m_nodes[node].m_metrics_address;
}

void deployment::start(int node)
{
    m_nodes[node].m_process = std::make_unique<demo::child_process>(
        m_program,
        std::vector<std::string>{"--settings", m_nodes[node].m_settings_path},
        m_folder + "/node-" + std::to_string(node) + ".log");
    m_nodes[node].m_terminating = false;
    m_nodes[node].m_started_at_ms = node::boottime_now().count();
}

void deployment::kill(int node)
{
    m_nodes[node].m_process.reset();
}

void deployment::terminate(int node)
{
    m_nodes[node].m_process->send_signal(SIGTERM);
    m_nodes[node].m_terminating = true;
    m_nodes[node].m_signalled_at_ms = node::boottime_now().count();
}

void deployment::reload(int node)
{
    m_nodes[node].m_process->send_signal(SIGHUP);
}

span deployment::time_since_signal(int node) const
{
    return node::boottime_now() -
           instant(m_nodes[node].m_signalled_at_ms.load());
}

instant deployment::undisturbed_since(int node) const
{
    return instant(std::max(m_nodes[node].m_signalled_at_ms.load(),
                            m_nodes[node].m_started_at_ms.load()));
}

bool deployment::restart_if_ended(int node)
{
    node_process& each = m_nodes[node];
    if (each.m_process &&
        !(each.m_terminating && each.m_process->wait_for_exit(span(0))))
    {
        return false;
    }
    start(node);
    return true;
}

bool deployment::wait_for_exit(int node, span timeout)
{
    return m_nodes[node].m_process->wait_for_exit(timeout);
}

bool deployment::kill_after_grace(int node)
{
    node_process& each = m_nodes[node];
    if (!each.m_process || !each.m_terminating ||
        time_since_signal(node) < m_times.m_shutdown_grace ||
        each.m_process->wait_for_exit(span(0)))
    {
        return false;
    }
    each.m_process.reset();
    each.m_terminating = false;
    return true;
}

void deployment::pause(int node)
{
    m_nodes[node].m_process->send_signal(SIGSTOP);
}

void deployment::resume(int node)
{
    m_nodes[node].m_process->send_signal(SIGCONT);
}

} // namespace kingcuprudder::soak
