#ifndef KINGCUPRUDDER_RUNTIME_SIGNALS_HPP
#define KINGCUPRUDDER_RUNTIME_SIGNALS_HPP

#include <atomic>
#include <functional>
#include <thread>

namespace kingcuprudder
{

/// Blocks SIGTERM, SIGINT and SIGUSR1 for this thread and the threads it starts
/// later. Must be called in main before any thread is started: a signal that
/// reaches a thread that has not blocked it terminates the process.
void block_signals();

/// Sends this process a SIGTERM, which begins its graceful shutdown.
void request_termination();

/// Waits for signals on a thread of its own and runs the callbacks there, so
/// that they need not be async-signal-safe.
class signal_waiter
{
public:
    using callback = std::function<void()>;

    /// Calls on_terminate for each SIGTERM and SIGINT, and on_dump for each
    /// SIGUSR1. block_signals() must have been called before.
    signal_waiter(callback on_terminate, callback on_dump);
    ~signal_waiter();
    signal_waiter(const signal_waiter&) = delete;
    signal_waiter& operator=(const signal_waiter&) = delete;

private:
    void run();

    callback m_on_terminate;
    callback m_on_dump;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace kingcuprudder

#endif
