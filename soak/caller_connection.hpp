#ifndef SOAK_CALLER_CONNECTION_HPP
#define SOAK_CALLER_CONNECTION_HPP

#include <kingcuprudder/base/time.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder::soak
{

/// The response to a request.
struct caller_response
{
    int m_status = 0;
    /// Whether the process closes the connection after it.
    bool m_closes = false;
    std::string m_body;

    friend bool operator==(const caller_response&,
                           const caller_response&) = default;
};

/// A caller's TCP connection to a process, which sends requests in parts or
/// several at once.
class caller_connection
{
public:
    /// Connects to "ip:port", for a limited time.
    explicit caller_connection(const std::string& address);
    ~caller_connection();
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;

    /// Whether the connection was established.
    bool is_connected() const { return m_connected; }
    /// Whether the process has ended the connection, so that nothing should be
    /// sent on it.
    bool is_ended() const;
    /// Returns whether all bytes were sent.
    bool send(std::string_view bytes) const;
    /// Returns the next response, or nothing if the connection ends or the time
    /// is over before it is complete.
    std::optional<caller_response> read_response(span timeout);
    /// Describes why the last response is missing.
    const std::string& error() const { return m_error; }

private:
    /// Removes a complete response from the received bytes.
    std::optional<caller_response> take_response();

    int m_socket;
    bool m_connected = false;
    std::string m_received;
    std::string m_error;
};

/// Returns the text of a request for a job, with the queue's host and key.
std::string job_request_text(std::string_view method, const std::string& id,
                             const std::string& body = "");
/// Returns the body of a submission with one task of this duration in
/// milliseconds.
std::string job_body(int task_ms);

} // namespace kingcuprudder::soak

#endif
