#ifndef KINGCUPRUDDER_RUNTIME_HTTP_CONNECTION_POOL_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_CONNECTION_POOL_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/http_outcome.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace httplib
{
class Client;
class Result;
} // namespace httplib

namespace kingcuprudder
{

/// A pool of persistent HTTP connections to one address. Each call uses an idle
/// connection or opens a new one; a connection on which a call failed is
/// closed. Thread-safe.
class http_connection_pool
{
public:
    using http_call = std::function<httplib::Result(httplib::Client&)>;

    /// Creates a pool of connections to "ip:port"; opening one fails after
    /// `connect_timeout`. Throws std::runtime_error for a malformed address.
    http_connection_pool(const std::string& address, span connect_timeout);
    ~http_connection_pool();
    http_connection_pool(const http_connection_pool&) = delete;
    http_connection_pool& operator=(const http_connection_pool&) = delete;

    /// Makes one call and waits up to `timeout` for its answer. Returns nothing
    /// when there was no complete answer.
    std::optional<http_answer> run(span timeout, const http_call& call);

    /// Makes one call like run(), but returns the reason when there was no
    /// complete answer. After such a call the idle connections are closed, as
    /// they may be broken too.
    http_outcome run_with_outcome(span timeout, const http_call& call);

    /// Fails the calls in progress and all later ones.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
