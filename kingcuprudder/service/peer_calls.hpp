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

/// Calls a region's scheduler process and keeps the settings of both sides
/// level: every call and answer carries the sender's settings revision, and
/// the side with the newer tree passes it on. So a process that has lost its
/// watch still follows within one call. Safe to use from several threads.
class peer_calls
{
public:
    using completion = stream_client::completion;

    /// Both must outlive this object and its calls in progress.
    peer_calls(stream_client& client, live_state& live);

    /// Sends a caller_call in CBOR to an address "ip:port"; completes with
    /// the caller_answer in CBOR.
    void call(const std::string& address, const std::string& body, span timeout,
              completion done);

private:
    void on_peer_revision(const std::string& address, std::uint64_t revision);
    void fetch_settings(const std::string& address);
    void send_settings(const std::string& address);

    stream_client& m_client;
    live_state& m_live;
};

/// The server's side of peer_calls.
class peer_call_handler
{
public:
    /// Sends the answer to one call; may be called later and anywhere.
    using answerer = std::function<void(const std::string& content)>;

    /// Gets the content of a call and the function that answers it.
    using taker = std::function<void(const std::string& content,
                                     const answerer& respond)>;

    /// The live state must outlive this object and its calls in progress.
    peer_call_handler(live_state& live, taker take);

    /// Takes one call of a stream server.
    void operator()(const std::string& method, const std::string& body,
                    const stream_server::responder& respond) const;

private:
    void take_offer(const peer_message& offer) const;

    live_state& m_live;
    taker m_take;
};

} // namespace kingcuprudder

#endif
