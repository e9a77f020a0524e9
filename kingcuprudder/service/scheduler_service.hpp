#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_SERVICE_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_SERVICE_HPP

#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/region/log_record.hpp>

#include <memory>
#include <string>

namespace kingcuprudder
{

/// The identity of a scheduler process and the addresses that it uses. An
/// address is "ip:port"; for listening, port 0 selects a free port.
struct scheduler_options
{
    instance_id m_instance;
    region_id m_region;
    std::string m_stream_address; ///< Listens for calls of entry processes.
    std::string m_http_address;   ///< Listens for heartbeats of workers.
    std::string m_health_address; ///< Listens for health checks.
    std::string m_store_address;
    std::string m_instance_list_address;
};

/// The scheduler process of a region: connects the state machine of the region
/// to the store, the workers, the callers and the instance list.
class scheduler_service
{
public:
    /// Starts all threads. Throws std::runtime_error if it cannot listen on an
    /// address.
    scheduler_service(const scheduler_options& options,
                      std::unique_ptr<placement_policy> policy);

    /// Stops immediately, like a killed process, unless begin_shutdown() has
    /// completed before.
    ~scheduler_service();
    scheduler_service(const scheduler_service&) = delete;
    scheduler_service& operator=(const scheduler_service&) = delete;

    const std::string& stream_address() const;
    const std::string& http_address() const;
    const std::string& health_address() const;

    /// Return whether this process owns the region, and its epoch as owner.
    bool owning() const;
    epoch_number epoch() const;

    /// Returns the revision of the current settings; 0 before they are first
    /// loaded.
    std::uint64_t settings_revision() const;

    /// Starts the graceful shutdown: releases ownership as soon as the records
    /// in flight are settled. The health check fails from now on.
    void begin_shutdown();

    /// Returns whether the shutdown that begin_shutdown() started has
    /// completed.
    bool shut_down() const;

    /// Returns the state as lines of text for operators.
    std::string dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
