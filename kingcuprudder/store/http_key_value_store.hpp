#ifndef KINGCUPRUDDER_STORE_HTTP_KEY_VALUE_STORE_HPP
#define KINGCUPRUDDER_STORE_HTTP_KEY_VALUE_STORE_HPP

#include <kingcuprudder/store/key_value_store.hpp>

#include <memory>
#include <string>

namespace kingcuprudder
{

/// Client of the platform's key-value store over persistent HTTP connections. A
/// connection is closed after a failed call, so that an unresponsive one costs
/// one timeout. A failed read is retried once on a new connection; a failed
/// write is not, as its outcome is unknown.
class http_key_value_store : public key_value_store
{
public:
    /// Creates a client of the store at "ip:port" with a timeout per call.
    explicit http_key_value_store(const std::string& address,
                                  span timeout = span(1000));
    ~http_key_value_store() override;
    http_key_value_store(const http_key_value_store&) = delete;
    http_key_value_store& operator=(const http_key_value_store&) = delete;

    store_answer call(const store_call& request) override;
    result<watch_batch> watch(const std::string& prefix, store_revision after,
                              span wait) override;

    /// Fails the calls in progress, including watches, and all later ones. Used
    /// when the process shuts down.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
