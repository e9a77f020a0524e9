#include <kingcuprudder/runtime/signals.hpp>

#include <csignal>
#include <pthread.h>
#include <unistd.h>
#include <utility>

namespace kingcuprudder
{

namespace
{

sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGUSR1);
    return signals;
}

} // namespace

void block_signals()
{
    const sigset_t signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void request_termination()
{
    kill(getpid(), SIGTERM);
}

signal_waiter::signal_waiter(callback on_terminate, callback on_dump)
    : m_on_terminate(std::move(on_terminate)), m_on_dump(std::move(on_dump)),
      m_thread([this] { run(); })
{
}

signal_waiter::~signal_waiter()
{
    m_stopping = true;
    // Sent to the waiting thread only, to wake it.
    pthread_kill(m_thread.native_handle(), SIGUSR1);
    m_thread.join();
}

void signal_waiter::run()
{
    const sigset_t signals = handled_signals();
    while (!m_stopping)
    {
        int received = 0;
        if (sigwait(&signals, &received) != 0 || m_stopping)
        {
            continue;
        }
        if (received == SIGUSR1)
        {
            m_on_dump();
        }
        else
        {
            m_on_terminate();
        }
    }
}

} // namespace kingcuprudder
