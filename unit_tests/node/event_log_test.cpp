#include "captured_output.hpp"
#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/event_log.hpp>

#include <gtest/gtest.h>

#include <chrono>
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

} // namespace kingcuprudder::node
