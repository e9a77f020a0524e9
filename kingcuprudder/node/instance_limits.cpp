#include <kingcuprudder/node/instance_limits.hpp>

#include <algorithm>

namespace kingcuprudder::node
{

namespace
{

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

// The part of the memory that callers' requests may hold, and the one for the
// buffers of their connections in the kernel and here.
constexpr std::size_t request_memory_share = 4;
constexpr std::size_t connection_memory_share = 4;
constexpr std::size_t bytes_per_connection = std::size_t{24} * 1024;
// One request must not use up what all callers may hold.
constexpr std::size_t largest_request_share = 4;

// Descriptors that are not for sockets.
constexpr std::size_t file_descriptors = 200;
// The part of the other descriptors that callers get, in percent. The rest is
// for workers and the store, and for connections that are ending.
constexpr std::size_t caller_descriptor_percent = 45;
constexpr std::size_t max_caller_connections = 1500;

constexpr std::size_t max_monitoring_connections = 64;
// The part of the memory that responses to operators may hold.
constexpr std::size_t monitoring_memory_share = 16;

// The part of the memory that one response of the store may take.
constexpr std::size_t store_response_share = 16;
// A page of a list has 1 MB of values, which are base64 text in JSON.
constexpr std::size_t least_store_response_bytes = 4 * bytes_per_mb;
constexpr std::size_t most_store_response_bytes = 16 * bytes_per_mb;

std::size_t memory_bytes(const instance_size& instance)
{
    return instance.m_memory_mb * bytes_per_mb;
}

/// Returns the configured limit if there is one, but not more than the most.
std::size_t limit_within(std::int64_t configured, std::size_t otherwise,
                         std::size_t most)
{
    return configured > 0 ? static_cast<std::size_t>(std::min(
                                configured, static_cast<std::int64_t>(most)))
                          : otherwise;
}

} // namespace

http_server_limits caller_server_limits(const instance_size& instance)
{
    const std::size_t sockets =
        instance.m_max_descriptors -
        std::min(instance.m_max_descriptors, file_descriptors);
    const std::size_t by_memory =
        memory_bytes(instance) / connection_memory_share / bytes_per_connection;
    http_server_limits limits;
    limits.m_max_held_bytes = memory_bytes(instance) / request_memory_share;
    limits.m_max_connections = std::max<std::size_t>(
        1, std::min({max_caller_connections, by_memory,
                     sockets * caller_descriptor_percent / 100}));
    return limits;
}

http_server_limits monitoring_server_limits(const instance_size& instance)
{
    http_server_limits limits;
    limits.m_max_held_bytes = memory_bytes(instance) / monitoring_memory_share;
    limits.m_max_connections = max_monitoring_connections;
    return limits;
}

std::size_t max_store_response_bytes(const instance_size& instance)
{
    return std::clamp(memory_bytes(instance) / store_response_share,
                      least_store_response_bytes, most_store_response_bytes);
}

http_request_limits
request_limits(const dispatch::service_configuration& configuration,
               const instance_size& instance)
{
    const http_server_limits defaults;
    const std::size_t most =
        memory_bytes(instance) / request_memory_share / largest_request_share;
    http_request_limits limits;
    limits.m_max_header_bytes = limit_within(configuration.m_max_header_bytes,
                                             defaults.m_max_header_bytes, most);
    limits.m_max_body_bytes = limit_within(configuration.m_max_body_bytes,
                                           defaults.m_max_body_bytes, most);
    limits.m_header_timeout = configuration.m_header_timeout > span(0)
                                  ? configuration.m_header_timeout
                                  : defaults.m_header_timeout;
    limits.m_idle_timeout = configuration.m_idle_timeout > span(0)
                                ? configuration.m_idle_timeout
                                : defaults.m_idle_timeout;
    return limits;
}

} // namespace kingcuprudder::node
