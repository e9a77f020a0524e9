#ifndef KINGCUPRUDDER_DISPATCH_SERVICE_CONFIGURATION_HPP
#define KINGCUPRUDDER_DISPATCH_SERVICE_CONFIGURATION_HPP

#include <kingcuprudder/dispatch/job_submission.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace kingcuprudder::dispatch
{

/// A queue to which callers submit jobs under a host and a path prefix.
struct queue_configuration
{
    std::string m_name;
    std::string m_host;
    std::string m_path_prefix;
    queue_policy m_policy;
    /// Callers need no API key.
    bool m_public = false;

    friend bool operator==(const queue_configuration&,
                           const queue_configuration&) = default;
};

/// A client account, its keys and its guarantee.
struct account_configuration
{
    std::string m_name;
    std::vector<std::string> m_keys;
    /// The number of GPUs guaranteed to the account's jobs of priority 0.
    std::int64_t m_guaranteed_gpus = 0;

    friend bool operator==(const account_configuration&,
                           const account_configuration&) = default;
};

/// A pool of workers.
struct pool_configuration
{
    std::string m_name;
    /// The workers refuse starts that exceed their capacity.
    bool m_workers_refuse_overload = false;
    /// The pool's workers are switched off.
    bool m_standby = false;

    friend bool operator==(const pool_configuration&,
                           const pool_configuration&) = default;
};

/// One version of the operators' configuration.
struct service_configuration
{
    std::int64_t m_version = 0;
    std::vector<queue_configuration> m_queues;
    std::vector<account_configuration> m_accounts;
    std::vector<pool_configuration> m_pools;
    /// Limits of a caller's request; 0 for a default.
    std::int64_t m_max_header_bytes = 0;
    std::int64_t m_max_body_bytes = 0;
    /// Time until the header of a request is complete; 0 for a default.
    span m_header_timeout;
    /// Time after which a connection without a request is closed; 0 for a
    /// default.
    span m_idle_timeout;

    /// Returns the queue of the host with the longest matching path prefix, or
    /// null.
    const queue_configuration* find_queue(const std::string& host,
                                          const std::string& path) const;
    /// Returns the queue of this name, or null.
    const queue_configuration* queue_named(const std::string& name) const;
    /// Returns the account with this API key, or null.
    const account_configuration* account_with_key(const std::string& key) const;

    friend bool operator==(const service_configuration&,
                           const service_configuration&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
