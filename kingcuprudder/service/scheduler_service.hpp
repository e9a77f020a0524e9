#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_SERVICE_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_SERVICE_HPP

#include <kingcuprudder/base/tagged_id.hpp>
#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/region/log_record.hpp>

#include <memory>
#include <string>

namespace kingcuprudder
{

/// Who a scheduler process is and where the others are. Addresses are an IP
/// number and a port; port 0 takes a free one for listening.
struct scheduler_options
{
    instance_id m_instance;
    region_id m_region;
    std::string m_stream_address; ///< Listens for calls of own processes.
    std::string m_http_address;   ///< Listens for heartbeats of workers.
    std::string m_health_address; ///< Listens for health checks.
    std::string m_store_address;
    std::string m_instance_list_address;
};

/// A region's scheduler process: connects the region's state machine to the
/// store, the workers, the callers and the instance list.
class scheduler_service
{
public:
    /// Starts all threads. Throws std::runtime_error when an address cannot
    /// be listened on.
    scheduler_service(const scheduler_options& options,
                      std::unique_ptr<placement_policy> policy);

    /// Ends at once, as a killed process would, unless begin_shutdown has been
    /// carried out before.
    ~scheduler_service();
    scheduler_service(const scheduler_service&) = delete;
    scheduler_service& operator=(const scheduler_service&) = delete;

    const std::string& stream_address() const;
    const std::string& http_address() const;
    const std::string& health_address() const;

    /// Whether this process owns the region, and its epoch as owner.
    bool owning() const;
    epoch_number epoch() const;

    /// Settings revision in force; 0 before the first settings.
    std::uint64_t settings_revision() const;

    /// Gives up ownership as soon as the records in flight are settled. The
    /// health check refuses from now on.
    void begin_shutdown();

    /// Whether begin_shutdown has been carried out.
    bool shut_down() const;

    /// The state for operators, as lines of text.
    std::string dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
