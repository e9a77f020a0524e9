#include <kingcuprudder/runtime/log_line.hpp>
#include <kingcuprudder/runtime/metrics.hpp>
#include <kingcuprudder/runtime/process_settings.hpp>
#include <kingcuprudder/runtime/signals.hpp>
#include <kingcuprudder/runtime/state_dump.hpp>

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>
#include <future>
#include <stdexcept>
#include <unistd.h>

namespace kingcuprudder
{
namespace
{

log_line example_line()
{
    log_line line;
    line.m_time = instant(1767225599123);
    line.m_level = log_level::warning;
    line.m_component = "owner";
    line.m_message = "Append failed\nretrying";
    line.m_context = {"acme/roster-1", "", 7};
    return line;
}

// Guards against lines that lose the job or epoch that they concern, and
// against one message that looks like two lines.
TEST(runtime_logging, text_lines_carry_prefix_and_context)
{
    EXPECT_EQ(format_log_line(example_line(), log_layout::text),
              "2025-12-31T23:59:59.123Z warning owner: Append failed retrying "
              "job=acme/roster-1 epoch=7");
}

// Guards against JSON lines that collectors cannot parse.
TEST(runtime_logging, json_lines_escape_what_callers_send)
{
    log_line line = example_line();
    line.m_context = {"", "r\"\xff", 0};
    EXPECT_EQ(format_log_line(line, log_layout::json),
              R"({"time":"2025-12-31T23:59:59.123Z","level":"warning",)"
              R"("component":"owner","message":"Append failed\nretrying",)"
              "\"request\":\"r\\\"\xef\xbf\xbd\"}");
}

// Guards against log lines below the configured level and against a layout
// that is not put into effect.
TEST(runtime_logging, level_and_layout_are_put_into_effect)
{
    configure_logging({log_level::warning, log_layout::json});
    testing::internal::CaptureStderr();
    const logger log("owner");
    log.info("not shown");
    log.warning("shown", {"a/j", "", 3});
    const std::string output = testing::internal::GetCapturedStderr();
    configure_logging({});
    EXPECT_EQ(output.find("not shown"), std::string::npos);
    EXPECT_NE(output.find(R"("message":"shown","job":"a/j","epoch":3})"),
              std::string::npos)
        << output;
}

// Guards against metrics that lose labels, and names without a unit.
TEST(runtime_metrics, text_holds_every_metric_with_its_labels)
{
    metrics_registry registry;
    registry.add_counter("kcr_store_calls_total", "Calls.", {{"kind", "put"}})
        .increment(2);
    registry.add_gauge("kcr_queued_jobs", "Waiting jobs.").set(5);
    registry.add_histogram("kcr_decision_ms", "Decision.", {1, 10}).observe(4);
    const std::string text = registry.text();
    for (const char* line :
         {"# HELP kcr_store_calls_total Calls.",
          "kcr_store_calls_total{kind=\"put\"} 2", "kcr_queued_jobs 5",
          "kcr_decision_ms_bucket{le=\"10\"} 1"})
    {
        EXPECT_NE(text.find(line), std::string::npos) << line << "\n" << text;
    }
    EXPECT_THROW(registry.add_gauge("kcr_queue", "No unit."), std::logic_error);
    EXPECT_THROW(registry.add_counter("kcr_calls", "."), std::logic_error);
}

const std::string good_process_settings = R"({
  "instance": "i1", "region": "dunakanyar", "zone": "visegrad",
  "stream_address": "127.0.0.1:7001", "http_address": "127.0.0.1:7002",
  "health_address": "[::1]:7003", "store_address": "127.0.0.1:7100",
  "instance_list_address": "127.0.0.1:7200",
  "log": {"level": "debug", "layout": "json"}})";

/// The good settings with the first occurrence of a text replaced.
std::string with(const std::string& from, const std::string& to)
{
    std::string text = good_process_settings;
    return text.replace(text.find(from), from.size(), to);
}

// Guards against fields that are read into the wrong member.
TEST(runtime_process_settings, reads_every_field)
{
    const auto read = parse_process_settings(good_process_settings);
    ASSERT_TRUE(succeeded(read)) << error_of(read).m_message;
    EXPECT_EQ(value_of(read),
              (process_settings{instance_id("i1"),
                                region_id("dunakanyar"),
                                zone_id("visegrad"),
                                "127.0.0.1:7001",
                                "127.0.0.1:7002",
                                "[::1]:7003",
                                "127.0.0.1:7100",
                                "127.0.0.1:7200",
                                {log_level::debug, log_layout::json}}));
}

// Guards against a process that starts with an invalid settings file.
TEST(runtime_process_settings, each_fault_has_a_clear_error)
{
    const std::pair<std::string, std::string> table[] = {
        {"{", "not valid JSON"},
        {"[]", "expected a JSON object"},
        {with(R"("instance": "i1",)", ""), "instance: is missing"},
        {with(R"("zone": "visegrad")", R"("zone": 3)"),
         "zone: expected a non-empty string, found 3"},
        {with("127.0.0.1:7100", "store:7100"),
         "store_address: 'store' is not an IP address"},
        {with("127.0.0.1:7100", "127.0.0.1"), "store_address: '127.0.0.1' has"},
        {with("127.0.0.1:7100", "127.0.0.1:0"),
         "store_address: '0' is not a port"},
        {with("127.0.0.1:7100", "127.0.0.1:70000"), "'70000' is not a port"},
        {with("127.0.0.1:7002", "127.0.0.1:7001"),
         "http_address: another field has the same address"},
        {with(R"("zone")", R"("zoen")"),
         "zoen: unknown field 'zoen'; did you mean 'zone'?"},
        {with(R"("debug")", R"("verbose")"),
         "log.level: unknown level 'verbose'; known are: debug, info"},
        {with(R"("level")", R"("levle")"), "log.levle: unknown field"},
    };
    for (const auto& [text, expected] : table)
    {
        const auto read = parse_process_settings(text);
        ASSERT_FALSE(succeeded(read)) << text;
        EXPECT_NE(error_of(read).m_message.find(expected), std::string::npos)
            << error_of(read).m_message << "\nexpected: " << expected;
    }
    const auto absent = load_process_settings("/no/such/file");
    ASSERT_FALSE(succeeded(absent));
    EXPECT_EQ(error_of(absent).m_message, "/no/such/file: cannot be read");
}

/// Sends SIGUSR1 and SIGTERM to this process, which handles them as main does.
/// Must run in a process of its own, since a signal may reach any thread that
/// has not blocked it.
[[noreturn]] void receive_signals()
{
    block_signals();
    std::promise<void> terminated;
    std::promise<void> dumped;
    {
        const signal_waiter waiter([&] { terminated.set_value(); },
                                   [&] { dumped.set_value(); });
        kill(getpid(), SIGUSR1);
        dumped.get_future().wait();
        kill(getpid(), SIGTERM);
        terminated.get_future().wait();
    }
    std::_Exit(0);
}

// Guards against a signal that ends the process instead of starting a
// graceful shutdown, and against a waiter that cannot be destroyed.
TEST(runtime_signals, each_signal_reaches_its_callback)
{
    testing::FLAGS_gtest_death_test_style = "threadsafe";
    EXPECT_EXIT(receive_signals(), testing::ExitedWithCode(0), "");
}

// Guards against a dump that leaves a component out.
TEST(runtime_state_dump, lists_components_in_order)
{
    state_dump dump;
    dump.add("owner", [] { return std::string("epoch 3"); });
    dump.add("queue", [] { return std::string("2 jobs\n"); });
    EXPECT_EQ(dump.text(), "== owner ==\nepoch 3\n== queue ==\n2 jobs\n");
}

} // namespace
} // namespace kingcuprudder
