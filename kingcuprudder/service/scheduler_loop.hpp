#ifndef KINGCUPRUDDER_SERVICE_SCHEDULER_LOOP_HPP
#define KINGCUPRUDDER_SERVICE_SCHEDULER_LOOP_HPP

#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/runtime/bounded_ring.hpp>
#include <kingcuprudder/runtime/logging.hpp>
#include <kingcuprudder/service/scheduler_event.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <thread>

namespace kingcuprudder
{

/// The thread that owns the state machine of the region. Events reach it
/// through a bounded ring; its effects are passed to the functions given to
/// start().
class scheduler_loop
{
public:
    /// Begin a store or worker call; return false if the call cannot be
    /// started. The answer is pushed as an event.
    using store_function = std::function<bool(store_call)>;
    using worker_function = std::function<bool(worker_call)>;

    explicit scheduler_loop(std::unique_ptr<region_owner> owner);
    ~scheduler_loop();
    scheduler_loop(const scheduler_loop&) = delete;
    scheduler_loop& operator=(const scheduler_loop&) = delete;

    /// Starts the thread.
    void start(store_function call_store, worker_function call_worker);

    /// Ends the thread; queued events are dropped.
    void stop();

    /// Adds an event; blocks while the ring is full. Must not be called on the
    /// thread of the loop.
    void push(scheduler_event event);

    /// Adds an event; returns false if the ring is full.
    bool try_push(scheduler_event event);

    bool owning() const { return m_owning; }
    epoch_number epoch() const { return m_epoch; }
    bool shut_down() const { return m_shut_down; }

private:
    /// A call of a caller in progress.
    struct open_call
    {
        call_number m_number = 0; ///< The number that the caller assigned.
        std::function<void(const caller_answer&)> m_respond;
    };

    void run();
    void process(scheduler_event event);
    void process_local_events();
    void handle(settings_event& event);
    void handle(owner_key_event& event);
    void handle(workers_event& event);
    void handle(store_answer& answer);
    void handle(worker_answer& answer);
    void handle(heartbeat_event& event);
    void handle(call_event& event);
    void handle(dump_event& event);
    void handle(statistics_event& event);
    void handle(shutdown_event& event);

    void carry_out(region_owner::effects effects);
    void carry_out(store_call& call);
    void carry_out(worker_call& call);
    void carry_out(caller_answer& answer);
    void carry_out(stepped_down& event);
    void publish();

    std::unique_ptr<region_owner> m_owner;
    store_function m_call_store;
    worker_function m_call_worker;
    bounded_ring<scheduler_event> m_events;
    /// Failed calls that the loop answers itself. They bypass the ring, because
    /// the thread must not block while the ring is full.
    std::deque<scheduler_event> m_local_events;
    std::map<call_number, open_call> m_calls;
    call_number m_last_call = 0;
    std::uint64_t m_takeovers = 0;
    logger m_log{"region"};
    std::atomic<bool> m_owning = false;
    std::atomic<epoch_number> m_epoch = 0;
    std::atomic<bool> m_shut_down = false;
    std::thread m_thread;
};

} // namespace kingcuprudder

#endif
