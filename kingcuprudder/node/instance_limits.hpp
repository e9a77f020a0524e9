#ifndef KINGCUPRUDDER_NODE_INSTANCE_LIMITS_HPP
#define KINGCUPRUDDER_NODE_INSTANCE_LIMITS_HPP

#include <kingcuprudder/dispatch/service_configuration.hpp>
#include <kingcuprudder/runtime/http_server_limits.hpp>

#include <cstddef>

namespace kingcuprudder::node
{

/// The memory and the file descriptors that a process may use.
struct instance_size
{
    std::size_t m_memory_mb = 256;
    std::size_t m_max_descriptors = 4096;

    friend bool operator==(const instance_size&,
                           const instance_size&) = default;
};

/// Returns the limits of the server for callers. Callers get a quarter of the
/// memory for their requests, and connections such that the rest of the process
/// keeps descriptors and memory of its own.
http_server_limits caller_server_limits(const instance_size& instance);

/// Returns the limits of the servers for the readiness check and for operators.
http_server_limits monitoring_server_limits(const instance_size& instance);

/// Returns the longest body of a response of the store, in bytes.
std::size_t max_store_response_bytes(const instance_size& instance);

/// Returns the limits of requests that a configuration sets, within what the
/// instance can bear. Limits that it does not set are the defaults.
http_request_limits
request_limits(const dispatch::service_configuration& configuration,
               const instance_size& instance);

} // namespace kingcuprudder::node

#endif
