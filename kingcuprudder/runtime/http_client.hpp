#ifndef KINGCUPRUDDER_RUNTIME_HTTP_CLIENT_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_CLIENT_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/http_outcome.hpp>

#include <cstddef>
#include <memory>
#include <string>

namespace kingcuprudder
{

/// A request of an http_client. The body is JSON.
struct http_client_request
{
    std::string m_method;
    /// The path with the query.
    std::string m_target;
    std::string m_body;

    friend bool operator==(const http_client_request&,
                           const http_client_request&) = default;
};

/// Calls to one address over a pool of persistent connections, each of which
/// blocks its thread. A call uses an idle connection or opens a new one; after
/// a call without a complete answer its connection and the idle ones are
/// closed, as they may be broken too. Thread-safe.
class http_client
{
public:
    /// Takes the address as "ip:port". Opening a connection fails after
    /// `connect_timeout`, and an answer with a longer body is not read. Throws
    /// std::runtime_error for a malformed address.
    http_client(const std::string& address, span connect_timeout,
                std::size_t max_body_bytes);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Makes one call. It fails when the peer is silent for `timeout`, or when
    /// the answer is not complete after ten times as long. Time in which the
    /// process was stopped counts.
    http_outcome call(const http_client_request& request, span timeout);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
