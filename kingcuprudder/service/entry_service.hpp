#ifndef KINGCUPRUDDER_SERVICE_ENTRY_SERVICE_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_SERVICE_HPP

#include <kingcuprudder/service/entry_http_server.hpp>
#include <kingcuprudder/service/entry_owner_calls.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace kingcuprudder
{

/// The options of an entry process.
struct entry_options
{
    instance_id m_instance;
    std::string m_address;        ///< For callers, "ip:port".
    std::string m_health_address; ///< For the load balancer, "ip:port".
    std::string m_instance_list;  ///< Of the platform, "ip:port".
    http_bounds m_bounds;
    /// Maximum number of callers that wait for the end of a job at the same
    /// time.
    std::uint32_t m_max_waiting_callers = 24;
    /// Maximum number of requests to services in flight on this instance.
    std::uint32_t m_max_requests_in_flight = 64;
    /// How long new work is accepted after the start of a shutdown, until the
    /// load balancer has detected it.
    span m_drain_time = span::seconds(2);
    /// Seed that must differ between processes, as it makes the holder tokens
    /// unique.
    std::uint64_t m_seed = 1;
};

/// Serves the caller interface of one instance.
class entry_service
{
public:
    /// Starts to listen; throws std::runtime_error on failure. Calls that
    /// depend on settings are refused until the settings are loaded.
    entry_service(entry_options options, entry_owner_calls::transport send);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    void on_settings(std::shared_ptr<const effective_settings> settings);
    void on_owner(std::optional<owner_record> owner);

    /// Return the addresses that the service listens on.
    const std::string& address() const;
    const std::string& health_address() const;

    /// Shuts down the service and returns when all work in progress has
    /// completed.
    void shut_down();

    /// Returns the state as lines of text for operators.
    std::string dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
