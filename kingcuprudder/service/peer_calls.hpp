#ifndef KINGCUPRUDDER_SERVICE_PEER_CALLS_HPP
#define KINGCUPRUDDER_SERVICE_PEER_CALLS_HPP

#include <kingcuprudder/codec/peer_message.hpp>
#include <kingcuprudder/service/live_state.hpp>
#include <kingcuprudder/stream/stream_client.hpp>
#include <kingcuprudder/stream/stream_server.hpp>

#include <functional>
#include <string>

namespace kingcuprudder
{

/// Calls the scheduler process of a region and synchronizes the settings of
/// both sides: every call and response carries the settings revision of its
/// sender, and the side with the newer tree sends it. A process that has lost
/// its watch thus receives new settings within one call. Safe to use from
/// several threads.
class peer_calls
{
public:
    using completion = stream_client::completion;

    /// `client` and `live` must outlive this object and its calls in progress.
    peer_calls(stream_client& client, live_state& live);

    /// Sends a caller_call in CBOR to an address "ip:port". Completes with the
    /// caller_answer in CBOR.
    void call(const std::string& address, const std::string& body, span timeout,
              completion done);

private:
    void on_peer_revision(const std::string& address, std::uint64_t revision);
    void fetch_settings(const std::string& address);
    void send_settings(const std::string& address);

    stream_client& m_client;
    live_state& m_live;
};

/// The server side of peer_calls.
class peer_call_handler
{
public:
    /// Sends the answer to one call. May be called later and on any thread.
    using answerer = std::function<void(const std::string& content)>;

    /// Receives the content of a call and the function that answers it.
    using call_handler = std::function<void(const std::string& content,
                                            const answerer& respond)>;

    /// `live` must outlive this object and its calls in progress.
    peer_call_handler(live_state& live, call_handler handle);

    /// Handles one call of a stream server.
    void operator()(const std::string& method, const std::string& body,
                    const stream_server::responder& respond) const;

private:
    void apply_offer(const peer_message& offer) const;

    live_state& m_live;
    call_handler m_handle;
};

} // namespace kingcuprudder

#endif
