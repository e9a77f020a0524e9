#ifndef KINGCUPRUDDER_NODE_WORKER_SESSION_HPP
#define KINGCUPRUDDER_NODE_WORKER_SESSION_HPP

#include <kingcuprudder/dispatch/worker_orders.hpp>
#include <kingcuprudder/node/leadership.hpp>
#include <kingcuprudder/node/worker_calls.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>

namespace kingcuprudder::node
{

/// Sends orders to one worker and renews its lease, each on a thread of its
/// own, so that a slow order delays no renewal. Sends nothing after the term
/// has become invalid.
class worker_session
{
public:
    using order = std::variant<dispatch::start_order, dispatch::stop_order>;

    /// Called from the session's threads.
    struct hooks
    {
        std::function<void(const std::string& worker, instant sent)>
            m_renewal_sent;
        std::function<void(const std::string& worker,
                           const dispatch::worker_report& report, instant sent)>
            m_renewal_answered;
        std::function<void(const std::string& worker)> m_renewal_failed;
        std::function<void(const dispatch::start_order&,
                           dispatch::order_outcome)>
            m_start_finished;
        std::function<void(const dispatch::stop_order&,
                           dispatch::order_outcome)>
            m_stop_finished;
    };

    worker_session(std::string address, std::unique_ptr<worker_calls> calls,
                   std::shared_ptr<term> current_term, span worker_lease,
                   const hooks& callbacks);
    ~worker_session();
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    /// Returns the address of the worker.
    const std::string& address() const { return m_address; }
    void update(const dispatch::renewal_request& request);
    void send(order next);

private:
    /// A reading of the worker's clock and the local time when it was read.
    struct clock_reading
    {
        std::int64_t m_clock = 0;
        instant m_read_at;
    };

    void run_renewals();
    void run_orders();
    bool is_renewal_due() const;
    void renew(const dispatch::renewal_request& request);
    void execute(const order& next);
    /// Updates the clock reading from the answer and returns its outcome.
    dispatch::order_outcome apply_answer(const order_answer& answer);
    /// Returns the end of a lease of this length from now, on the worker's
    /// clock; nothing before the first reading of that clock.
    std::optional<std::int64_t> lease_end_clock(span length);
    void update_clock(std::int64_t clock, instant read_at);
    void pause(span time);

    std::string m_address;
    std::unique_ptr<worker_calls> m_calls;
    std::shared_ptr<term> m_term;
    span m_worker_lease;
    hooks m_hooks;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    dispatch::renewal_request m_request;
    std::optional<clock_reading> m_clock;
    /// The incarnation of the worker to which the clock and the numbers of the
    /// completions belong.
    std::int64_t m_incarnation = 0;
    std::int64_t m_last_acknowledged = 0;
    std::int64_t m_highest_completion = 0;
    /// The lease end in the last unanswered renewal.
    std::optional<std::int64_t> m_unanswered_lease_end;
    bool m_last_renewal_answered = false;
    std::deque<order> m_orders;
    bool m_stopping = false;
    std::thread m_renewal_thread;
    std::thread m_order_thread;
};

} // namespace kingcuprudder::node

#endif
