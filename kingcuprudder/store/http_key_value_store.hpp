#ifndef KINGCUPRUDDER_STORE_HTTP_KEY_VALUE_STORE_HPP
#define KINGCUPRUDDER_STORE_HTTP_KEY_VALUE_STORE_HPP

#include <kingcuprudder/store/key_value_store.hpp>

#include <memory>
#include <string>

namespace kingcuprudder
{

/// Calls the platform's key-value store over HTTP on kept connections. A
/// connection on which a call failed is closed and never used again, so that
/// one that went silent costs one timeout. Reads are tried a second time on a
/// new connection; writes never are, as their outcome is unknown.
class http_key_value_store : public key_value_store
{
public:
    /// Talks to the store at "ip:port", waiting this long for each answer.
    explicit http_key_value_store(const std::string& address,
                                  span timeout = span(1000));
    ~http_key_value_store() override;
    http_key_value_store(const http_key_value_store&) = delete;
    http_key_value_store& operator=(const http_key_value_store&) = delete;

    store_answer call(const store_call& request) override;
    result<watch_batch> watch(const std::string& prefix, store_revision after,
                              span wait) override;

    /// Fails the calls in progress, the waiting watches among them, and all
    /// later ones. For a process that ends.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
