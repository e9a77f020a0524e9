#ifndef KINGCUPRUDDER_DISPATCH_CALL_RESULT_HPP
#define KINGCUPRUDDER_DISPATCH_CALL_RESULT_HPP

#include <kingcuprudder/dispatch/worker_orders.hpp>

#include <string_view>

namespace kingcuprudder::dispatch
{

/// Why a call to a worker has no usable answer.
enum class call_failure
{
    none,               ///< The worker answered, or the reason is unknown.
    given_up,           ///< This process did not send it or gave it up.
    connection_refused, ///< The worker's machine refused the connection.
    connection_closed,  ///< The other side closed the connection.
    unreachable,        ///< No connection, for another reason.
    timed_out,          ///< Nothing came from the other side in time.
    unreadable_answer,  ///< The answer could not be understood.
};

/// The outcome of a call to a worker and, for a call without a usable answer,
/// the reason.
struct call_result
{
    call_result() = default;
    /// Converts implicitly, as most outcomes have no further reason.
    call_result(order_outcome outcome,
                call_failure failure = call_failure::none)
        : m_outcome(outcome), m_failure(failure)
    {
    }

    order_outcome m_outcome = order_outcome::not_sent;
    call_failure m_failure = call_failure::none;

    /// Returns whether the process that was called has ended, although its
    /// machine and the network work. Connections that are reset show the same.
    bool shows_ended_process() const;

    friend bool operator==(const call_result&, const call_result&) = default;
};

/// Returns the reason, or the outcome if there is no reason.
std::string_view to_string(const call_result& result);

} // namespace kingcuprudder::dispatch

#endif
