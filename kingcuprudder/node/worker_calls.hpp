#ifndef KINGCUPRUDDER_NODE_WORKER_CALLS_HPP
#define KINGCUPRUDDER_NODE_WORKER_CALLS_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/dispatch/call_result.hpp>
#include <kingcuprudder/dispatch/worker_description.hpp>
#include <kingcuprudder/dispatch/worker_orders.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace kingcuprudder::node
{

/// The answer to an order.
struct order_answer
{
    dispatch::call_result m_result;
    /// The worker's clock in milliseconds, if the answer contains it.
    std::optional<std::int64_t> m_clock;
};

/// Parameters of a lease renewal.
struct renewal_call
{
    std::int64_t m_fence = 0;
    /// The worker may discard completion reports up to this number.
    std::int64_t m_acknowledged = 0;
    /// The new lease end on the worker's clock; none to leave it unchanged.
    std::optional<std::int64_t> m_lease_end_clock;
    /// How long the worker may wait for a completion before it answers.
    span m_wait;
};

/// The worker's report, or the result of a renewal without one.
using renewal_answer =
    std::variant<dispatch::worker_report, dispatch::call_result>;

/// Interface for calls to one worker. A call returns at once and reports its
/// answer once, later, on the thread of the event loop. Used on that thread
/// only.
class worker_calls
{
public:
    using order_done = std::function<void(const order_answer&)>;
    using renewal_done = std::function<void(const renewal_answer&)>;

    virtual ~worker_calls() = default;

    virtual void start(const dispatch::start_order& order, std::int64_t fence,
                       std::int64_t lease_end_clock, span timeout,
                       order_done done) = 0;
    virtual void stop(const dispatch::stop_order& order, std::int64_t fence,
                      span timeout, order_done done) = 0;
    virtual void renew(const renewal_call& call, span timeout,
                       renewal_done done) = 0;
    /// Fails the calls in progress and all later ones.
    virtual void cancel() = 0;
};

/// Tells whether a call may still be sent.
using send_check = std::function<bool()>;

/// Creates the interface to the worker with this id and address. A call for
/// which the check fails when the connection is open is not sent.
using worker_calls_factory = std::function<std::unique_ptr<worker_calls>(
    event_loop& loop, const std::string& id, const std::string& address,
    send_check may_send)>;

} // namespace kingcuprudder::node

#endif
