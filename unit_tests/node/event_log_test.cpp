#include <kingcuprudder/node/clocks.hpp>
#include <kingcuprudder/node/event_log.hpp>

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <fcntl.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace kingcuprudder::node
{

namespace
{

/// Redirects standard output to a pipe.
class captured_output
{
public:
    captured_output()
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(pipe(ends.data()), 0);
        m_saved = dup(STDOUT_FILENO);
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
        m_reader = ends[0];
        fcntl(m_reader, F_SETFL, O_NONBLOCK);
    }

    std::string read_all()
    {
        std::string text;
        std::array<char, 65536> part{};
        ssize_t count = 0;
        while ((count = read(m_reader, part.data(), part.size())) > 0)
        {
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return text;
    }

    void restore()
    {
        dup2(m_saved, STDOUT_FILENO);
        close(m_saved);
    }

    ~captured_output() { close(m_reader); }

private:
    int m_saved = -1;
    int m_reader = -1;
};

} // namespace

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
