#ifndef KINGCUPRUDDER_SERVICE_ENTRY_PROCESS_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_PROCESS_HPP

#include <kingcuprudder/service/entry_service.hpp>
#include <kingcuprudder/service/live_state.hpp>
#include <kingcuprudder/service/peer_calls.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>
#include <kingcuprudder/stream/stream_client.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace kingcuprudder
{

/// One entry process: the entry service with its store, its watch and its
/// streams to the region's owner.
class entry_process
{
public:
    /// Serves callers of the region whose state is in the store at "ip:port".
    /// Throws std::runtime_error when an address cannot be served.
    entry_process(const entry_options& options,
                  const std::string& store_address, const region_id& region);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Ends the process's work without interrupting any in progress.
    void shut_down();

    /// The state for operators, as lines of text.
    std::string dump() const;

    /// The addresses in use.
    const std::string& address() const { return m_service->address(); }
    const std::string& health_address() const
    {
        return m_service->health_address();
    }

private:
    void forward_settings(std::shared_ptr<const effective_settings> settings);
    void forward_owner(std::optional<owner_record> owner);

    // Guards the time in which the watch runs and the service is not there.
    std::mutex m_mutex;
    entry_service* m_receiver = nullptr;
    http_key_value_store m_store;
    live_state m_live;
    // Outlives the client, whose calls in progress end with it.
    peer_calls m_peers;
    stream_client m_client;
    std::unique_ptr<entry_service> m_service;
};

} // namespace kingcuprudder

#endif
