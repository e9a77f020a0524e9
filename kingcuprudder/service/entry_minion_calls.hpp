#ifndef KINGCUPRUDDER_SERVICE_ENTRY_MINION_CALLS_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_MINION_CALLS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/request/request_session.hpp>

#include <memory>

namespace kingcuprudder
{

/// Sends requests to minions over HTTP. Safe to use from several threads. The
/// router limits the calls to each minion and thereby the number of
/// connections.
class entry_minion_calls
{
public:
    entry_minion_calls();
    ~entry_minion_calls();
    entry_minion_calls(const entry_minion_calls&) = delete;
    entry_minion_calls& operator=(const entry_minion_calls&) = delete;

    /// Sends one request and waits for the response. A connection on which a
    /// call failed is not reused.
    target_answer call(const target_ref& target, const service_request& request,
                       span timeout);

    /// Checks whether the target responds.
    target_answer probe(const target_ref& target, span timeout);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
