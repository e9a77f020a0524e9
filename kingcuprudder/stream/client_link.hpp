#ifndef KINGCUPRUDDER_STREAM_CLIENT_LINK_HPP
#define KINGCUPRUDDER_STREAM_CLIENT_LINK_HPP

#include <kingcuprudder/stream/http2_link.hpp>
#include <kingcuprudder/stream/stream_client.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// A call of a stream client, from submission to completion.
struct outgoing_call
{
    std::string m_address;
    std::string m_method;
    std::string m_body;
    std::int64_t m_deadline = 0; // In steady_milliseconds().
    stream_client::completion m_done;
    bool m_sent = false; // Part of the call may have reached the peer.
    int m_status = 0;
    std::string m_answer;
};

/// A completed call with its outcome.
struct finished_call
{
    std::unique_ptr<outgoing_call> m_call;
    result<std::string> m_outcome;
};

/// Returns an error whose verdict follows from whether the call was sent.
error call_error(const outgoing_call& call, error_code code,
                 const std::string& message);

/// The client side of a connection, with the calls in progress on it.
class client_link : public http2_link
{
public:
    /// Starts to connect. Throws std::runtime_error if that fails immediately.
    client_link(const std::string& address, std::int64_t connect_deadline);

    /// Sends a call, or fails it immediately.
    void start(std::unique_ptr<outgoing_call> call);

    /// Processes the events that poll() returned.
    void handle_poll(short events);

    /// Returns the poll() events to wait for; while connecting, only those of
    /// the connect.
    short poll_events() const;

    /// Fails calls whose deadline has passed and checks the pings. Returns the
    /// time of the next check.
    std::int64_t check_deadlines(std::int64_t now);

    /// Fails all calls in progress.
    void fail_all(const std::string& reason);

    bool usable() const { return !broken() && !draining() && !m_failed; }
    bool failed() const { return broken() || m_failed; }
    bool idle() const { return m_calls.empty(); }

    /// Returns and clears the calls completed since the last call of this
    /// function.
    std::vector<finished_call> take_finished();

private:
    void on_header(std::int32_t stream, const std::string& name,
                   const std::string& value) override;
    void on_data(std::int32_t stream, const std::uint8_t* data,
                 std::size_t size) override;
    void on_end_of_input(std::int32_t stream) override;
    void on_stream_closed(std::int32_t stream, std::uint32_t code) override;
    void on_request_sent(std::int32_t stream) override;
    void on_request_not_sent(std::int32_t stream) override;

    // nghttp2 may read a body until the stream is closed, which can be later
    // than the completion of the call.
    struct request_body
    {
        std::string m_bytes;
        std::size_t m_sent = 0;
    };
    friend struct request_body_reader;

    void finish(std::int32_t stream, result<std::string> outcome);
    void fail(std::int32_t stream, error_code code, const std::string& message);

    std::map<std::int32_t, std::unique_ptr<outgoing_call>> m_calls;
    std::map<std::int32_t, std::unique_ptr<request_body>> m_bodies;
    std::vector<finished_call> m_finished;
    std::int64_t m_connect_deadline = 0;
    bool m_connecting = true;
    bool m_failed = false;
};

} // namespace kingcuprudder

#endif
