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

/// One call of a stream client, from its submission to its completion.
struct outgoing_call
{
    std::string m_address;
    std::string m_method;
    std::string m_body;
    std::int64_t m_deadline = 0; // By steady_milliseconds().
    stream_client::completion m_done;
    bool m_sent = false; // Any part of the call may have reached the peer.
    int m_status = 0;
    std::string m_answer;
};

/// A call that has ended, with its outcome.
struct finished_call
{
    std::unique_ptr<outgoing_call> m_call;
    result<std::string> m_outcome;
};

/// The error of a call, with the verdict that its state implies.
error call_error(const outgoing_call& call, error_code code,
                 const std::string& message);

/// The client's side of one connection, with the calls in progress on it.
class client_link : public http2_link
{
public:
    /// Begins to connect. Throws std::runtime_error when that fails at once.
    client_link(const std::string& address, std::int64_t connect_deadline);

    /// Sends a call, or fails it at once.
    void start(std::unique_ptr<outgoing_call> call);

    /// Carries out what poll() reported.
    void handle_poll(short events);

    /// Poll events to wait for; while connecting only the outcome.
    short poll_events() const;

    /// Ends calls whose deadline has passed and checks that the peer answers.
    /// Returns the time of the next check.
    std::int64_t check_times(std::int64_t now);

    /// Ends all calls that are in progress.
    void fail_all(const std::string& reason);

    bool usable() const { return !broken() && !draining() && !m_failed; }
    bool failed() const { return broken() || m_failed; }
    bool idle() const { return m_calls.empty(); }

    /// The calls that have ended since the last time.
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

    // The session reads a body until it has closed the stream, which may be
    // later than the end of the call.
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
