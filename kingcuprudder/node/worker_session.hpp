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

/// Carries out the orders to one worker and renews its lease, each on a thread
/// of its own, so that a slow order delays no renewal. Sends nothing once the
/// term is no longer valid.
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
                   std::shared_ptr<term> held, span worker_lease,
                   const hooks& calls_back);
    ~worker_session();
    worker_session(const worker_session&) = delete;
    worker_session& operator=(const worker_session&) = delete;

    /// The address of the worker that this session was opened to.
    const std::string& address() const { return m_address; }
    void update(const dispatch::renewal_request& request);
    void send(order next);

private:
    /// The worker's clock as it was when it was read.
    struct clock_reading
    {
        std::int64_t m_clock = 0;
        instant m_read_at;
    };

    void run_renewals();
    void run_orders();
    bool wants_renewal() const;
    void renew(const dispatch::renewal_request& request);
    void carry_out(const order& next);
    dispatch::order_outcome finish(const order_answer& answer);
    /// The lease end for a call that is made now; nothing while the worker's
    /// clock is not known.
    std::optional<std::int64_t> lease_end_clock(span length);
    void note_clock(std::int64_t clock, instant read_at);
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
    std::int64_t m_started = 0;
    std::int64_t m_acknowledged_sent = 0;
    std::int64_t m_highest_end = 0;
    /// The lease end that the last unanswered renewal asked for.
    std::optional<std::int64_t> m_unanswered_lease_end;
    bool m_answered = false;
    std::deque<order> m_orders;
    bool m_stopping = false;
    std::thread m_renewal_thread;
    std::thread m_order_thread;
};

} // namespace kingcuprudder::node

#endif
