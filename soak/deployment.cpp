#include <kingcuprudder/node/clocks.hpp>

#include <demo/free_port.hpp>
#include <nlohmann/json.hpp>
#include <soak/deployment.hpp>

#include <csignal>
#include <fstream>

namespace kingcuprudder::soak
{

namespace
{

constexpr std::int64_t milliseconds_per_second = 1000;

} // namespace

deployment::deployment(std::string program, std::string folder,
                       const std::string& store_address, int nodes,
                       span worker_lease, span shutdown_grace)
    : m_program(std::move(program)), m_folder(std::move(folder))
{
    for (int index = 0; index < nodes; ++index)
    {
        node_process& node = m_nodes.emplace_back();
        node.m_caller_address = demo::free_loopback_address();
        node.m_readiness_address = demo::free_loopback_address();
        node.m_settings_path =
            m_folder + "/node-" + std::to_string(index) + ".json";
        const nlohmann::json settings{
            {"name", "node-" + std::to_string(index)},
            {"availability_zone", "zone"},
            {"caller_address", node.m_caller_address},
            {"readiness_address", node.m_readiness_address},
            {"metrics_address", demo::free_loopback_address()},
            {"store_address", store_address},
            {"processor_share", 1},
            {"worker_lease_ms", worker_lease.count()},
            {"worker_stop_ms", 400},
            {"reclaim_ms", 2900},
            {"distance_factor", 3},
            {"restore_ms", 100},
            {"status_s", 120},
            {"shutdown_grace_s",
             shutdown_grace.count() / milliseconds_per_second}};
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

void deployment::start(int node)
{
    m_nodes[node].m_process = std::make_unique<demo::child_process>(
        m_program,
        std::vector<std::string>{"--settings", m_nodes[node].m_settings_path},
        m_folder + "/node-" + std::to_string(node) + ".log");
    m_nodes[node].m_terminating = false;
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

void deployment::pause(int node)
{
    m_nodes[node].m_process->send_signal(SIGSTOP);
}

void deployment::resume(int node)
{
    m_nodes[node].m_process->send_signal(SIGCONT);
}

} // namespace kingcuprudder::soak
