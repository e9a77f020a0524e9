#ifndef KINGCUPRUDDER_RUNTIME_TIMER_SERVICE_HPP
#define KINGCUPRUDDER_RUNTIME_TIMER_SERVICE_HPP

#include <kingcuprudder/base/time.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace kingcuprudder
{

/// Returns the current time of the system's real-time clock.
instant system_now();

/// Runs callbacks when their timers expire, on one thread of its own. Callbacks
/// must be short; most of them push into a bounded_ring.
class timer_service
{
public:
    using callback = std::function<void()>;
    using subscription = std::uint64_t;

    timer_service();
    ~timer_service();
    timer_service(const timer_service&) = delete;
    timer_service& operator=(const timer_service&) = delete;

    /// Runs the callback repeatedly: first after one interval, then one
    /// interval after each run has ended.
    subscription every(span interval, callback call);

    /// Runs the callback once after the delay.
    subscription after(span delay, callback call);

    /// Cancels a subscription. On return its callback is not running and will
    /// not run again; a callback that cancels itself finishes its current run.
    void cancel(subscription id);

private:
    struct entry
    {
        span m_interval; // Zero for a callback that runs once.
        callback m_call;
    };
    using due_key = std::pair<std::int64_t, subscription>;

    subscription add(span delay, span interval, callback call);
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::condition_variable m_idle;
    std::map<due_key, entry> m_due;
    subscription m_last = 0;
    subscription m_running = 0;
    subscription m_cancelled_while_running = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace kingcuprudder

#endif
