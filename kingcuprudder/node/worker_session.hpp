#ifndef KINGCUPRUDDER_NODE_WORKER_SESSION_HPP
#define KINGCUPRUDDER_NODE_WORKER_SESSION_HPP

#include <kingcuprudder/dispatch/worker_orders.hpp>
#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/order_slots.hpp>
#include <kingcuprudder/node/worker_calls.hpp>
#include <kingcuprudder/node/worker_clock.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace kingcuprudder::node
{

/// Sends orders to one worker and renews its lease. Orders and renewals are
/// independent, so that a slow order delays no renewal. Orders are sent one
/// after the other while they are answered soon; beside one that is not, more
/// are sent, but for orders to the same task. Sends nothing after the term has
/// become invalid, and no start to a worker that drains. All sessions share one
/// event loop; the calls that are pending on the loop share the ownership of
/// their session.
class worker_session : public std::enable_shared_from_this<worker_session>
{
public:
    using order = std::variant<dispatch::start_order, dispatch::stop_order>;

    /// Called on the event loop's thread.
    struct hooks
    {
        /// A call that extends the worker's lease goes out.
        std::function<void(const std::string& worker, instant sent)>
            m_lease_sent;
        std::function<void(const std::string& worker,
                           const dispatch::worker_report& report, instant sent)>
            m_renewal_answered;
        std::function<void(const std::string& worker,
                           const dispatch::call_result& result, instant sent)>
            m_renewal_failed;
        std::function<void(const dispatch::start_order&,
                           const dispatch::call_result& result)>
            m_start_finished;
        std::function<void(const dispatch::stop_order&,
                           dispatch::order_outcome)>
            m_stop_finished;
    };

    worker_session(event_loop& loop, std::string address,
                   std::unique_ptr<worker_calls> calls,
                   std::shared_ptr<term> current_term, span worker_lease,
                   order_slots& slots, hooks callbacks);
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    /// Returns the address of the worker.
    const std::string& address() const { return m_address; }
    /// Callable from one thread, like send() and close().
    void update(const dispatch::renewal_request& request);
    void send(order next);
    /// Removes the start of this run, if it waits, without a result.
    void withdraw(const dispatch::run_ref& run);
    /// Ends the session: gives up its waiting and later orders, each of which
    /// is reported as not sent, and fails its calls.
    void close();

private:
    enum class renewal_phase
    {
        idle,
        /// The reported completions are not acknowledged yet.
        awaiting_acknowledgement,
        in_flight,
        pausing,
    };

    // The functions below run on the event loop's thread.
    /// Adds an order to those that wait, unless it waits already. A stop
    /// replaces the start of its run.
    void enqueue(const order& next);
    void apply_update(const dispatch::renewal_request& request);
    bool is_renewal_due() const;
    /// Returns whether the next order is a start whose lease end cannot be
    /// computed from a recent reading of the worker's clock.
    bool start_needs_clock(instant now) const;
    void consider_renewal();
    void renew();
    void finish_renewal(const renewal_call& call, instant sent,
                        const renewal_answer& answer);
    /// Ends the term if a worker has refused a token that is still the term's;
    /// else the token was raised while the call was on its way. Returns whether
    /// the term ends.
    bool ends_term(std::int64_t refused_fence);
    /// Returns whether the worker has to accept a higher fencing token before
    /// it gets work.
    bool awaits_fence() const;
    void remove_waiting_start(const dispatch::run_ref& run);
    /// Reports all starts that wait as not sent, so that their tasks can start
    /// elsewhere at once.
    void give_up_waiting_starts();
    void apply_report(const renewal_call& call, instant sent,
                      const dispatch::worker_report& report);
    void continue_after_report();
    void pause_renewals(span pause);
    /// Sends the orders whose turn has come. A start without a recent reading
    /// of the worker's clock waits for the answer to a renewal and is given up
    /// if there is none.
    void execute_next();
    /// Returns the position of the first waiting order whose task has no order
    /// in flight, or the number of waiting orders if there is none.
    std::size_t next_order() const;
    /// Returns whether one more order may be in flight now. If not, it is asked
    /// again when an order has been answered or has had no answer for a while.
    bool may_send_order(instant now);
    void order_sent(const dispatch::task_ref& task, instant now);
    void order_finished(const dispatch::task_ref& task);
    /// Reports all orders that wait as not sent.
    void give_up_orders();
    void send_order(const order& next, instant now);
    /// Returns the fencing token with which the order is sent.
    std::int64_t fence_of(const order& next) const;
    /// Returns why the order is not sent now, or nothing if it can be.
    std::optional<dispatch::call_result> reason_not_to_send(const order& next,
                                                            instant now) const;
    /// Returns the length of the lease that a start grants if it is sent now.
    /// It ends with the lease that the dispatcher counts from when it made the
    /// start.
    span start_lease_of(const dispatch::start_order& start, instant now) const;
    /// The incarnation is the one that had answered last when it was sent.
    void finish_order(const order& sent, std::int64_t fence,
                      std::int64_t incarnation, const order_answer& answer);
    void report_order(const order& sent, const dispatch::call_result& result);

    event_loop& m_loop;
    std::string m_address;
    std::unique_ptr<worker_calls> m_calls;
    std::shared_ptr<term> m_term;
    span m_worker_lease;
    order_slots& m_slots;
    hooks m_hooks;
    /// The request of the last update; used by the updating thread only.
    std::optional<dispatch::renewal_request> m_last_update;

    // The members below are used on the event loop's thread only.
    dispatch::renewal_request m_request;
    worker_clock m_clock;
    /// The incarnation of the worker to which the clock and the numbers of the
    /// completions belong.
    std::int64_t m_incarnation = 0;
    /// The fencing token of the last renewal that was answered.
    std::int64_t m_accepted_fence = 0;
    /// The incarnation in the last answer to a renewal.
    std::int64_t m_answering_incarnation = 0;
    std::int64_t m_last_acknowledged = 0;
    std::int64_t m_highest_completion = 0;
    /// A renewal that extends the lease has had no answer, and none since has
    /// been answered.
    bool m_lease_unanswered = false;
    /// The same, but only an answer to one that extends the lease counts.
    bool m_lease_overdue = false;
    bool m_last_renewal_answered = false;
    /// When the last answer to a renewal was received.
    instant m_last_answer;
    renewal_phase m_renewal_phase = renewal_phase::idle;
    event_loop::timer m_renewal_timer;
    std::deque<order> m_orders;
    /// The tasks with an order in flight.
    std::set<dispatch::task_ref> m_tasks_in_flight;
    /// When the newest order in flight was sent.
    instant m_last_order_sent;
    event_loop::timer m_order_timer;
    bool m_closed = false;
};

} // namespace kingcuprudder::node

#endif
