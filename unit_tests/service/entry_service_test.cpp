#include "entry_test_region.hpp"

#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace kingcuprudder
{
namespace
{

std::string job(const std::string& id, const std::string& more = "",
                int tasks = 1)
{
    return R"({"account":"a","id":")" + id +
           R"(","class":"c","shape":{"tasks":)" + std::to_string(tasks) +
           R"(,"accelerators_per_task":1},"payload":"{\"run_ms\":20}")" + more +
           "}";
}

// Guards against invalid input that is accepted, and against errors without a
// code, a message or a verdict.
TEST(entry_service, refuses_bad_input_and_says_why)
{
    entry_test_region region(0);
    const entry_process& entry = region.add_entry();
    struct row
    {
        std::string m_path, m_body;
        int m_status;
        std::string m_code, m_expected_text;
    };
    const std::vector<row> rows{
        {"/v1/jobs", "{", 400, "malformed", "JSON"},
        {"/v1/jobs", "[]", 400, "malformed", "object"},
        {"/v1/jobs", R"({"account":"a","account":"b"})", 400, "malformed",
         "account"},
        {"/v1/jobs", job("j", R"(,"urgnt":true)"), 400, "malformed",
         "'urgent'"},
        {"/v1/jobs", job("j", R"(,"urgent":1)"), 400, "malformed", "urgent"},
        {"/v1/jobs", job("j/k"), 400, "malformed", "id"},
        {"/v1/jobs", job("j", "", 0), 400, "malformed", "shape.tasks"},
        {"/v1/jobs", R"({"account":"a","id":"j","class":"c"})", 400,
         "malformed", "'shape'"},
        {"/v1/jobs",
         R"({"account":"b","id":"j","class":"c","shape":{"tasks":1}})", 404,
         "unknown_account", "'a'"},
        {"/v1/jobs",
         R"({"account":"a","id":"j","class":"cc","shape":{"tasks":1}})", 404,
         "unknown_job_class", "'c'"},
        {"/v1/jobs", job("big", "", 4000), 422, "never_fits", ""},
        {"/v1/jobs", std::string(1100 * 1024, 'x'), 413, "too_large", "1 MB"},
        {"/v1/requests", R"({"account":"a","id":"r","service":"t"})", 404,
         "unknown_service", "'s'"},
        {"/v1/requests", R"({"account":"a","id":"r"})", 400, "malformed",
         "'service'"},
        {"/v1/nothing", "{}", 404, "malformed", "/v1/nothing"},
    };
    for (const row& each : rows)
    {
        const caller_view seen =
            entry_test_region::post(entry, each.m_path, each.m_body);
        const std::string about = each.m_body.substr(0, 100);
        EXPECT_EQ(seen.m_status, each.m_status) << about;
        EXPECT_EQ(seen.text("code"), each.m_code) << about;
        EXPECT_EQ(seen.text("verdict"), "not_run") << about;
        EXPECT_NE(seen.text("message").find(each.m_expected_text),
                  std::string::npos)
            << seen.text("message");
    }
    EXPECT_EQ(entry_test_region::get(entry, "/v1/jobs/a/none").m_status, 404);
    EXPECT_EQ(entry_test_region::get(entry, "/v1/jobs/a/j?wait_ms=-1").m_status,
              400);
}

// Guards against a job that is accepted twice, or refused when its caller
// repeats the call after the class's defaults have changed.
TEST(entry_service, a_job_runs_once_and_its_submission_can_be_repeated)
{
    entry_test_region region(0);
    const entry_process& entry = region.add_entry();
    ASSERT_EQ(entry_test_region::post(entry, "/v1/jobs", job("j")).m_status,
              200);
    const caller_view ended =
        entry_test_region::get(entry, "/v1/jobs/a/j?wait_ms=30000");
    EXPECT_EQ(ended.text("phase"), "ended");
    EXPECT_EQ(ended.text("outcome"), "succeeded");
    EXPECT_EQ(ended.text("verdict"), "ran");

    region.write_settings(500);
    ASSERT_TRUE(wait_until(
        [&] {
            return entry.dump().find("settings revision: 1\n") ==
                   std::string::npos;
        }));
    const caller_view again =
        entry_test_region::post(entry, "/v1/jobs", job("j"));
    EXPECT_EQ(again.m_status, 200) << again.m_body.dump();
    EXPECT_EQ(again.m_body.value("accepted_at_ms", 0LL),
              ended.m_body.value("accepted_at_ms", 1LL));
    EXPECT_EQ(entry_test_region::post(entry, "/v1/jobs", job("j", "", 2))
                  .text("code"),
              "id_conflict");
    const auto started =
        region.m_region.started({account_id("a"), job_id("j")});
    EXPECT_EQ(started, (std::map<std::uint32_t, int>{{1, 1}}));
}

// Guards against a second run when a caller repeats a request through another
// entry process after any fault of the first call.
TEST(entry_service, a_repeated_request_runs_at_most_once)
{
    entry_test_region region(2);
    const entry_process& first = region.add_entry();
    const entry_process& second = region.add_entry();
    const caller_view ran = entry_test_region::request(first, "r1", false);
    EXPECT_EQ(ran.text("verdict"), "ran") << ran.m_body.dump();
    ASSERT_TRUE(wait_until(
        [&]
        { return first.dump().find("open reports: 0") != std::string::npos; }));
    const caller_view again = entry_test_region::request(second, "r1", false);
    EXPECT_EQ(again.text("answer"), ran.text("answer")) << again.m_body.dump();
    EXPECT_EQ(region.runs("r1"), 1U);
    EXPECT_EQ(entry_test_region::request(second, "r1", false, 5000, "other")
                  .text("code"),
              "id_conflict");

    for (auto& each : region.m_minions)
    {
        each->set_faults({false, true, false}); // Answers are lost.
    }
    const caller_view lost = entry_test_region::request(first, "r2", false);
    EXPECT_EQ(lost.text("verdict"), "may_have_run") << lost.m_body.dump();
    const caller_view repeated =
        entry_test_region::request(second, "r2", false);
    EXPECT_EQ(repeated.text("verdict"), "may_have_run");
    EXPECT_EQ(region.runs("r2"), 1U);
}

// Guards against an unresponsive minion that makes idempotent requests fail or
// other requests run twice.
TEST(entry_service, a_silent_minion_delays_but_does_not_lose_requests)
{
    entry_test_region region(3);
    const entry_process& entry = region.add_entry();
    region.m_minions[0]->set_faults({true, false, false});
    for (int i = 0; i < 12; ++i)
    {
        const std::string id = std::to_string(i);
        const caller_view safe =
            entry_test_region::request(entry, "i" + id, true, 6000);
        EXPECT_EQ(safe.text("verdict"), "ran") << safe.m_body.dump();
        const caller_view once =
            entry_test_region::request(entry, "n" + id, false, 1200);
        EXPECT_NE(once.text("verdict"), "not_run") << once.m_body.dump();
        EXPECT_LE(region.runs("n" + id), 1U);
    }
    EXPECT_NE(entry.dump().find("suspect"), std::string::npos) << entry.dump();
}

// Guards against new work for a draining minion, whether the draining state is
// reported by the instance list only or by the minion itself.
TEST(entry_service, a_leaving_minion_receives_nothing_after_3_s)
{
    entry_test_region region(3);
    const entry_process& entry = region.add_entry();
    std::atomic<bool> ended = false;
    std::atomic<int> failed = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 4; ++caller)
    {
        callers.emplace_back(
            [&, caller]
            {
                for (int i = 0; !ended; ++i)
                {
                    const std::string id =
                        std::to_string(caller) + "-" + std::to_string(i);
                    failed += entry_test_region::request(entry, id, i % 2 == 0)
                                          .text("verdict") == "ran"
                                  ? 0
                                  : 1;
                }
            });
    }
    const auto arrivals = [&] { return region.m_minions[0]->arrivals(); };
    EXPECT_TRUE(wait_until([&] { return arrivals() > 20; }));
    region.m_region.m_list.set_state("m0", "leaving");
    const instant bound = system_now() + span::seconds(3);
    EXPECT_TRUE(wait_until([&] { return system_now() > bound; }));
    const std::size_t before = arrivals();
    const std::size_t others = region.m_minions[1]->arrivals();
    EXPECT_TRUE(wait_until(
        [&] { return region.m_minions[1]->arrivals() > others + 100; }));
    EXPECT_EQ(arrivals(), before)
        << "the last run began "
        << (region.m_minions[0]->history().back().m_started_at - bound).count()
        << " ms after the bound";

    region.m_minions[1]->begin_leaving();
    const std::size_t last = region.m_minions[2]->arrivals();
    EXPECT_TRUE(wait_until(
        [&] { return region.m_minions[2]->arrivals() > last + 50; }));
    const std::size_t refused = region.m_minions[1]->arrivals();
    EXPECT_TRUE(wait_until(
        [&] { return region.m_minions[2]->arrivals() > last + 150; }));
    EXPECT_EQ(region.m_minions[1]->arrivals(), refused);
    ended = true;
    for (std::thread& each : callers)
    {
        each.join();
    }
    EXPECT_EQ(failed, 0);
}

// Guards against requests that a shutdown interrupts. Callers continue until
// the health check fails, like a load balancer.
TEST(entry_service, a_graceful_shutdown_under_load_interrupts_nothing)
{
    // Capacity for all calls at once, because a refusal of a busy minion would
    // hide a lost request.
    entry_test_region region(3);
    entry_process& entry = region.add_entry();
    std::atomic<int> answered = 0;
    std::atomic<int> wrong = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < 8; ++caller)
    {
        callers.emplace_back(
            [&, caller]
            {
                httplib::Client kept("http://" + entry.address());
                kept.set_keep_alive(true);
                for (int i = 0; entry_test_region::health(entry) == 200; ++i)
                {
                    const std::string id =
                        std::to_string(caller) + "-" + std::to_string(i);
                    const nlohmann::json body{{"account", "a"},
                                              {"id", id},
                                              {"service", "s"},
                                              {"idempotent", i % 2 == 0}};
                    const auto seen = entry_test_region::view(kept.Post(
                        "/v1/requests", body.dump(), "application/json"));
                    const bool ran = seen.text("verdict") == "ran";
                    (ran ? answered : wrong) += 1;
                    EXPECT_TRUE(ran) << seen.m_status << seen.m_body.dump();
                }
            });
    }
    EXPECT_TRUE(wait_until([&] { return answered > 50; }));
    // One long request is in progress when the listener closes.
    for (auto& each : region.m_minions)
    {
        each->set_service_time(span::seconds(4));
    }
    auto slow = std::async(
        std::launch::async,
        [&] { return entry_test_region::request(entry, "slow", false); });
    EXPECT_TRUE(wait_until([&] { return region.runs("slow") == 1; }));
    entry.shut_down();
    for (std::thread& each : callers)
    {
        each.join();
    }
    EXPECT_EQ(wrong, 0);
    EXPECT_EQ(slow.get().text("verdict"), "ran");
    EXPECT_EQ(entry_test_region::request(entry, "late", true).m_status, 0);
    EXPECT_NE(entry.dump().find("open reports: 0"), std::string::npos);
}

// Guards against callers that wait for a busy instance without a limit.
TEST(entry_service, connections_and_waits_over_the_bounds_are_refused)
{
    entry_test_region region(1);
    entry_options options;
    options.m_bounds.m_threads = 4;
    options.m_bounds.m_max_queued = 2;
    options.m_max_waiting_callers = 1;
    const entry_process& entry = region.add_entry(options);
    region.m_minions[0]->set_service_time(span::seconds(2));
    std::vector<std::future<caller_view>> calls;
    for (int i = 0; i < 24; ++i)
    {
        calls.push_back(std::async(std::launch::async,
                                   [&, i] {
                                       return entry_test_region::request(
                                           entry, std::to_string(i), true);
                                   }));
    }
    int refused = 0;
    int ran = 0;
    for (auto& each : calls)
    {
        const caller_view seen = each.get();
        ran += seen.text("verdict") == "ran" ? 1 : 0;
        if (seen.m_status == 429)
        {
            ++refused;
            EXPECT_EQ(seen.text("code"), "limit_reached");
            EXPECT_EQ(seen.text("verdict"), "not_run");
        }
    }
    EXPECT_EQ(ran + refused, 24);
    EXPECT_GE(ran, 6);
    EXPECT_GE(refused, 12);
}

// Guards against a call without an answer or with a false one while no process
// owns the region.
TEST(entry_service, without_an_owner_only_idempotent_requests_run)
{
    entry_test_region region(1, 0);
    const entry_process& entry = region.add_entry();
    EXPECT_EQ(entry_test_region::request(entry, "i", true).text("verdict"),
              "ran");
    const caller_view permit =
        entry_test_region::request(entry, "n", false, 300);
    EXPECT_EQ(permit.m_status, 503);
    EXPECT_TRUE(permit.m_retry_after);
    EXPECT_EQ(permit.text("verdict"), "not_run");
    EXPECT_EQ(region.runs("n"), 0U);
    const caller_view refused =
        entry_test_region::post(entry, "/v1/jobs?timeout_ms=300", job("j"));
    EXPECT_EQ(refused.text("code"), "owner_unavailable");
    EXPECT_EQ(refused.text("verdict"), "not_run");
}

} // namespace
} // namespace kingcuprudder
