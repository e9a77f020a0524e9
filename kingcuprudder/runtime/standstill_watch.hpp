#ifndef KINGCUPRUDDER_RUNTIME_STANDSTILL_WATCH_HPP
#define KINGCUPRUDDER_RUNTIME_STANDSTILL_WATCH_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/event_loop.hpp>

#include <functional>

namespace kingcuprudder
{

/// Notices that an event loop stood still: its process was stopped, its machine
/// was suspended, or it got no processor. What is read after that may have
/// arrived at any time since the loop was last at work. Used on the loop's
/// thread only.
class standstill_watch
{
public:
    /// Receives the time at which the loop was last known to be at work, on the
    /// clock of boottime_now().
    using hook = std::function<void(instant last_at_work)>;

    standstill_watch(event_loop& loop, hook on_standstill);

    /// Notes that the loop is at work, and calls the hook if it stood still
    /// since the last call. Returns the earliest time at which what is read now
    /// may have arrived.
    instant check();

private:
    void check_again_later();

    event_loop& m_loop;
    hook m_on_standstill;
    instant m_last_at_work;
    event_loop::timer m_timer;
};

} // namespace kingcuprudder

#endif
