#include <kingcuprudder/runtime/clocks.hpp>
#include <kingcuprudder/runtime/standstill_watch.hpp>

#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr span check_interval = span(250);
// A timer of a busy process on a small share of a core is this late.
constexpr span usual_delay = span(250);

} // namespace

standstill_watch::standstill_watch(event_loop& loop, hook on_standstill)
    : m_loop(loop), m_on_standstill(std::move(on_standstill)),
      m_last_at_work(boottime_now())
{
    check_again_later();
}

instant standstill_watch::check()
{
    const instant now = boottime_now();
    const instant last_at_work = std::exchange(m_last_at_work, now);
    if (now - last_at_work <= check_interval + usual_delay)
    {
        return now;
    }
    m_on_standstill(last_at_work);
    return last_at_work;
}

void standstill_watch::check_again_later()
{
    m_timer = m_loop.run_after(check_interval,
                               [this]
                               {
                                   check();
                                   check_again_later();
                               });
}

} // namespace kingcuprudder
