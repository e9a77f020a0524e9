#include "captured_output.hpp"
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/event_log.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace kingcuprudder::node
{

// A log collector that does not read must not delay requests.
TEST(event_log, a_blocked_output_does_not_delay_callers)
{
    captured_output output;
    instant began;
    span took;
    {
        event_log log("test");
        const std::string long_value(1000, 'x');
        began = boottime_now();
        for (int line = 0; line < 20'000; ++line)
        {
            log.write("part", "event", "id", {{"value", long_value}});
        }
        took = boottime_now() - began;
        std::string text;
        for (int tries = 0; tries < 100; ++tries)
        {
            text += output.read_all();
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        output.restore();
        EXPECT_NE(text.find("\"event\":\"lines_dropped\""), std::string::npos);
        EXPECT_NE(text.find("\"id\":\"id\""), std::string::npos);
    }
    EXPECT_LT(took.count(), 1500);
}

// Guards against a caller that asks all the time and so hides the decisions.
TEST(event_log, lines_of_one_part_do_not_hide_those_of_another)
{
    constexpr int many = 20'000;
    constexpr std::size_t most_of_the_queue_bytes = 100'000;
    captured_output output;
    std::string text;
    const auto read_until = [&](const std::function<bool()>& done)
    {
        for (int tries = 0; tries < 500 && !done(); ++tries)
        {
            text += output.read_all();
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    };
    const auto is_written = [&text]
    { return text.find("task_assigned") != std::string::npos; };
    {
        event_log log("test");
        const auto ask_all_the_time = [&log]
        {
            for (int line = 0; line < many; ++line)
            {
                log.write("jobs", "status_not_given", "id", {});
            }
        };
        ask_all_the_time();
        read_until([&text] { return text.size() > most_of_the_queue_bytes; });
        ask_all_the_time();
        log.write("scheduler", "task_assigned", "id", {});
        read_until(is_written);
        output.restore();
    }
    EXPECT_TRUE(is_written());
}

// Guards against callers that fill the collector's disk with long paths.
TEST(event_log, long_values_of_callers_are_cut)
{
    constexpr std::size_t sent_bytes = 19'000;
    constexpr std::size_t max_line_bytes = 1200;
    captured_output output;
    std::string text;
    {
        event_log log("test");
        const std::string path(sent_bytes, 'p');
        log.write("jobs", "access_not_given", path, {{"method", path}});
        log.flush();
        text = output.read_all();
        output.restore();
    }
    EXPECT_NE(text.find("(19000 bytes)"), std::string::npos);
    EXPECT_LT(text.size(), max_line_bytes);
}

} // namespace kingcuprudder::node
