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

/// What an entry process needs to know about itself.
struct entry_options
{
    instance_id m_instance;
    std::string m_address;        ///< For callers, "ip:port".
    std::string m_health_address; ///< For the load balancer, "ip:port".
    std::string m_instance_list;  ///< Of the platform, "ip:port".
    http_bounds m_bounds;
    /// Callers that may wait for a job's end at the same time.
    std::uint32_t m_max_waiting_callers = 24;
    /// Requests to services in flight on this instance.
    std::uint32_t m_max_requests_in_flight = 64;
    /// How long new work is accepted after a shutdown has begun, while the
    /// load balancer notices it.
    span m_drain_time = span::seconds(2);
    /// Differs between processes: it makes the holder tokens unique.
    std::uint64_t m_seed = 1;
};

/// Serves the caller interface of one instance.
class entry_service
{
public:
    /// Starts to listen; throws std::runtime_error when it cannot. Everything
    /// that depends on settings is refused until the first ones are there.
    entry_service(entry_options options, entry_owner_calls::transport send);
    ~entry_service();
    entry_service(const entry_service&) = delete;
    entry_service& operator=(const entry_service&) = delete;

    void on_settings(std::shared_ptr<const effective_settings> settings);
    void on_owner(std::optional<owner_record> owner);

    /// The addresses in use.
    const std::string& address() const;
    const std::string& health_address() const;

    /// Ends the service without interrupting work in progress. Returns when
    /// all of it has ended.
    void shut_down();

    /// The state for operators, as lines of text.
    std::string dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
