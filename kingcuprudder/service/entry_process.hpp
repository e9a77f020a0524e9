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

/// An entry process: the entry service with its store client, its watch and its
/// streams to the owner of the region.
class entry_process
{
public:
    /// Serves callers of the region whose state is in the store at "ip:port".
    /// Throws std::runtime_error if it cannot listen on an address.
    entry_process(const entry_options& options,
                  const std::string& store_address, const region_id& region);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Shuts down after completing all work in progress.
    void shut_down();

    /// Returns the state as lines of text for operators.
    std::string dump() const;

    /// Return the addresses that the process listens on.
    const std::string& address() const { return m_service->address(); }
    const std::string& health_address() const
    {
        return m_service->health_address();
    }

private:
    void forward_settings(std::shared_ptr<const effective_settings> settings);
    void forward_owner(std::optional<owner_record> owner);

    // Guards m_receiver, which is null while the watch runs and the service
    // does not exist yet or any more.
    std::mutex m_mutex;
    entry_service* m_receiver = nullptr;
    http_key_value_store m_store;
    live_state m_live;
    // Declared before the client, because the calls in progress use it until
    // the client is destroyed.
    peer_calls m_peers;
    stream_client m_client;
    std::unique_ptr<entry_service> m_service;
};

} // namespace kingcuprudder

#endif
