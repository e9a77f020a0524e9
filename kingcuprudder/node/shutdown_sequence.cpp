#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/shutdown_sequence.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace kingcuprudder::node
{

namespace
{

// From the end of the accepting to the end of the grace time.
constexpr int completion_share = 3;
constexpr span min_completion = span(1500);
// The part of it in which open connections are read.
constexpr int reading_share = 4;
// The last responses are written in this time before the exit.
constexpr span last_write_time = span(300);
// For the log's last lines, before the platform kills the process.
constexpr span exit_margin = span(300);

span time_until(instant when)
{
    return std::max(span(0), when - boottime_now());
}

void sleep_until(instant when)
{
    std::this_thread::sleep_for(
        std::chrono::milliseconds(time_until(when).count()));
}

} // namespace

shutdown_schedule schedule_within(span grace)
{
    const span completion =
        std::min(grace, std::max(min_completion, grace / completion_share));
    shutdown_schedule schedule;
    schedule.m_stop_accepting = grace - completion;
    schedule.m_stop_reading =
        schedule.m_stop_accepting + completion / reading_share;
    schedule.m_exit = std::max(schedule.m_stop_reading, grace - exit_margin);
    schedule.m_abandon_handlers =
        std::max(schedule.m_stop_reading, schedule.m_exit - last_write_time);
    return schedule;
}

void end_caller_requests(http_server& callers,
                         const shutdown_schedule& schedule, instant signalled,
                         event_log& log)
{
    callers.begin_closing();
    sleep_until(signalled + schedule.m_stop_accepting);
    log.write("process", "stops_accepting", "",
              {{"open_requests", std::to_string(callers.open_requests())}});
    callers.stop_accepting();
    sleep_until(signalled + schedule.m_stop_reading);
    callers.stop_reading();
    bool answered = callers.wait_for_answers(
        time_until(signalled + schedule.m_abandon_handlers));
    if (!answered)
    {
        log.write("process", "handlers_abandoned", "",
                  {{"open_requests", std::to_string(callers.open_requests())}});
        callers.answer_open_requests();
        answered =
            callers.wait_for_answers(time_until(signalled + schedule.m_exit));
    }
    log.write(
        "process", "stopped", "",
        {{"answered", answered ? "true" : "false"},
         {"open_requests", std::to_string(callers.open_requests())},
         {"took_ms", std::to_string((boottime_now() - signalled).count())}});
}

} // namespace kingcuprudder::node
