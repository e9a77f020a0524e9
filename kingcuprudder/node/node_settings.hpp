#ifndef KINGCUPRUDDER_NODE_NODE_SETTINGS_HPP
#define KINGCUPRUDDER_NODE_NODE_SETTINGS_HPP

#include <kingcuprudder/dispatch/dispatcher.hpp>
#include <kingcuprudder/node/instance_limits.hpp>

#include <string>
#include <variant>

namespace kingcuprudder::node
{

/// Settings that a process reads at its start.
struct node_settings
{
    std::string m_name;
    std::string m_zone;
    std::string m_caller_address;    ///< "ip:port" for callers.
    std::string m_readiness_address; ///< "ip:port" of the readiness check.
    std::string m_metrics_address;   ///< "ip:port" of metrics and dumps.
    std::string m_store_address;     ///< "ip:port" of the key-value service.
    /// Processor time of the instance in cores.
    double m_processor_share = 1;
    instance_size m_instance;
    dispatch::dispatch_limits m_limits;
    /// How long the state of an ended job is retained.
    span m_status_retention = span::seconds(120);
    /// Records of ended jobs are kept this much longer, as clocks differ.
    span m_removal_margin = span::seconds(60);
    /// Time from a stop request until the process is killed.
    span m_shutdown_grace = span::seconds(6);

    friend bool operator==(const node_settings&,
                           const node_settings&) = default;
};

/// Parses settings from JSON text. Returns an error message that names the
/// invalid field if they are not valid.
std::variant<node_settings, std::string>
parse_node_settings(const std::string& text);

} // namespace kingcuprudder::node

#endif
