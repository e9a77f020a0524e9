#ifndef KINGCUPRUDDER_RUNTIME_HTTP_ENDPOINT_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_ENDPOINT_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>
#include <kingcuprudder/runtime/http_outcome.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder
{

/// A POST request with a JSON body.
struct http_post
{
    std::string m_path;
    std::vector<std::pair<std::string, std::string>> m_headers;
    std::string m_body;

    friend bool operator==(const http_post&, const http_post&) = default;
};

/// Calls to one address over persistent connections, without a thread of its
/// own. Each call uses an idle connection or opens a new one; after a call
/// without an answer the idle connections are closed, as they may be broken
/// too. Used on the thread of its event loop only, except for the constructor.
class http_endpoint
{
public:
    using completion = std::function<void(const http_outcome&)>;
    /// Tells whether a call may still be sent. It is asked immediately before
    /// the first byte is written, as opening a connection takes time.
    using send_check = std::function<bool()>;

    /// Takes the address as "ip:port". Opening a connection fails after
    /// `connect_timeout`. Throws std::runtime_error for a malformed address.
    http_endpoint(event_loop& loop, const std::string& address,
                  span connect_timeout, send_check may_send);
    /// Fails the calls in progress.
    ~http_endpoint();
    http_endpoint(const http_endpoint&) = delete;
    http_endpoint& operator=(const http_endpoint&) = delete;

    /// Makes one call and waits up to `timeout` for its answer after it was
    /// sent. `done` is called once, never from within this function.
    void post(const http_post& request, span timeout, completion done);
    /// Fails the calls in progress and all later ones.
    void cancel();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
