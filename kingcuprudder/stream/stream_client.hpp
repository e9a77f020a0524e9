#ifndef KINGCUPRUDDER_STREAM_STREAM_CLIENT_HPP
#define KINGCUPRUDDER_STREAM_STREAM_CLIENT_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/base/time.hpp>

#include <functional>
#include <memory>
#include <string>

namespace kingcuprudder
{

/// Sends calls to other processes of the system over HTTP/2 and multiplexes the
/// calls to one address over one connection. A connection that does not answer
/// pings is closed and its calls fail with error_code::connection_lost.
class stream_client
{
public:
    /// Called once for each call, on the thread of the client. The verdict of
    /// an error is not_run only if no part of the call was sent.
    using completion = std::function<void(result<std::string>)>;

    stream_client();
    ~stream_client();
    stream_client(const stream_client&) = delete;
    stream_client& operator=(const stream_client&) = delete;

    /// POSTs the body to /rpc/<method> at an address "ip:port".
    void call(const std::string& address, const std::string& method,
              std::string body, span timeout, completion done);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
