#include <stand_ins/wait_for_signal.hpp>

#include <csignal>
#include <pthread.h>

namespace kingcuprudder::stand_ins
{

namespace
{

sigset_t termination_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace

void block_termination_signals()
{
    const sigset_t signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_termination_signal()
{
    const sigset_t signals = termination_signals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace kingcuprudder::stand_ins
