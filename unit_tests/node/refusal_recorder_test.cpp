#include "captured_output.hpp"
#include <kingcuprudder/node/refusal_recorder.hpp>

#include <gtest/gtest.h>

#include <algorithm>

namespace kingcuprudder::node
{

// Guards against a crowd that fills the log: its refusals are counted one by
// one and logged together.
TEST(refusal_recorder, refusals_are_counted_and_logged_once_a_second)
{
    captured_output output;
    node_metrics metrics;
    event_log log("test");
    refusal_recorder recorder("callers", metrics, log);
    for (int at = 0; at < 50; ++at)
    {
        recorder.note(connection_refusal::body_too_large);
    }
    recorder.note(connection_refusal::over_bytes);
    log.flush();
    const std::string lines = output.read_all();
    output.restore();
    EXPECT_EQ(std::count(lines.begin(), lines.end(), '\n'), 2) << lines;
    EXPECT_NE(lines.find(R"("cause":"over_bytes","count":"1")"),
              std::string::npos)
        << lines;
    const std::string name = "kcr_connections_refused_total";
    EXPECT_NE(metrics.text().find(
                  name + R"({cause="body_too_large",server="callers"} 50)"),
              std::string::npos)
        << metrics.text();
}

// Guards against a caller that makes the process keep a counter for each
// method that it invents.
TEST(refusal_recorder, unknown_methods_share_a_label)
{
    node_metrics metrics;
    metrics.observe_caller_answer("GET", 200, 1);
    metrics.observe_caller_answer("INVENTED1", 405, 1);
    metrics.observe_caller_answer("INVENTED2", 405, 1);
    const std::string text = metrics.text();
    EXPECT_EQ(text.find("INVENTED"), std::string::npos);
    EXPECT_NE(text.find(R"(kcr_caller_answers_total{method="other",)"
                        R"(status="405"} 2)"),
              std::string::npos)
        << text;
}

} // namespace kingcuprudder::node
