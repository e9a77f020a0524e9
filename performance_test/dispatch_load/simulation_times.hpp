#ifndef PERFORMANCE_TEST_DISPATCH_LOAD_SIMULATION_TIMES_HPP
#define PERFORMANCE_TEST_DISPATCH_LOAD_SIMULATION_TIMES_HPP

#include <kingcuprudder/base/time.hpp>

namespace kingcuprudder::dispatch
{

constexpr span tick = span(10);
constexpr span call_time = span(4);
constexpr span call_timeout = span(400);
constexpr span report_interval = span(1500);
/// The interval of polls of a worker that does not answer.
constexpr span poll_interval = span(500);
constexpr span stop_time = span(250);
constexpr span checkpoint_interval = span(500);
constexpr span drain_time = span::seconds(30);
/// The time from the start of a crashing task to the crash.
constexpr span crash_delay = span(10);
constexpr span replacement_time = span(3300);
constexpr span unlisting_time = span(4000);

} // namespace kingcuprudder::dispatch

#endif
