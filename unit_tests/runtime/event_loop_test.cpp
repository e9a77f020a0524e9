#include <kingcuprudder/runtime/event_loop.hpp>

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <stdexcept>
#include <thread>

namespace kingcuprudder
{

TEST(event_loop, callbacks_and_timers_run_on_one_thread)
{
    event_loop loop([](const std::string&) {});
    std::promise<std::thread::id> posted;
    std::promise<std::thread::id> timed;
    event_loop::timer timer;
    loop.post(
        [&]
        {
            posted.set_value(std::this_thread::get_id());
            timer = loop.run_after(
                span(10), [&] { timed.set_value(std::this_thread::get_id()); });
        });
    EXPECT_EQ(posted.get_future().get(), timed.get_future().get());
    loop.stop();
}

// Guards against a timer whose callback already waits for its turn when the
// timer is cancelled: a session would then renew a lease twice at once.
TEST(event_loop, a_cancelled_timer_does_not_call_even_if_it_has_expired)
{
    event_loop loop([](const std::string&) {});
    std::atomic<int> calls = 0;
    std::promise<void> done;
    event_loop::timer first;
    event_loop::timer second;
    loop.post(
        [&]
        {
            first = loop.run_after(span(5),
                                   [&]
                                   {
                                       ++calls;
                                       second = event_loop::timer();
                                   });
            second = loop.run_after(span(5),
                                    [&]
                                    {
                                        ++calls;
                                        first = event_loop::timer();
                                    });
            // Both expire before the loop looks at either of them.
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
        });
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    loop.post([&] { done.set_value(); });
    done.get_future().wait();
    EXPECT_EQ(calls, 1);
    loop.stop();
}

// Guards against one unexpected error that ends the process.
TEST(event_loop, an_exception_of_a_callback_is_reported_and_others_run)
{
    std::atomic<int> errors = 0;
    event_loop loop([&](const std::string& what)
                    { errors += what == "unexpected" ? 1 : 0; });
    std::promise<void> next;
    loop.post([] { throw std::runtime_error("unexpected"); });
    loop.post([&] { next.set_value(); });
    next.get_future().wait();
    EXPECT_EQ(errors, 1);
    loop.stop();
}

} // namespace kingcuprudder
