#include <kingcuprudder/node/clocks.hpp>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <stand_ins/simulated_minions.hpp>

#include <chrono>
#include <httplib.h>
#include <thread>

namespace kingcuprudder::stand_ins
{

namespace
{

using nlohmann::json;

/// Returns the entries of the minions in the store by their keys.
std::map<std::string, json> entries(memory_store& store)
{
    std::map<std::string, json> found;
    const auto listed = store.list("servers/", span(100));
    for (const node::record& each : std::get<0>(listed).m_records)
    {
        found[each.m_key] = json::parse(each.m_value);
    }
    return found;
}

httplib::Result post(const std::string& address, const std::string& call,
                     const json& body)
{
    httplib::Client client("http://" + address);
    return client.Post("/kingcuprudder/" + call, {{"X-Target-Instance", "i-0"}},
                       body.dump(), "application/json");
}

httplib::Result start(const std::string& address, const std::string& spec)
{
    return post(address, "run-start",
                {{"task", "j.0.0.0"},
                 {"run", 1},
                 {"spec", spec},
                 {"deadlineMs", node::boottime_now().count() + 30'000},
                 {"fencingToken", 1}});
}

bool wait_for(const std::function<bool()>& condition)
{
    for (int at = 0; at < 700 && !condition(); ++at)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return condition();
}

} // namespace

TEST(simulated_minions, a_task_that_crashes_its_minion_breaks_its_connections)
{
    memory_store store;
    simulated_minions minions(store, 1);
    const json before = entries(store).at("servers/i-0");
    const std::string address = before.at("address");
    ASSERT_EQ(start(address, "60000 1 0 30")->status, 200);
    const instant polled_at = node::boottime_now();
    EXPECT_FALSE(
        post(address, "hold",
             {{"fencingToken", 1}, {"lastSeen", 0}, {"waitMs", 2000}}));
    EXPECT_LT(node::boottime_now() - polled_at, span(1000));
    EXPECT_EQ(post(address, "hold", {}).error(), httplib::Error::Connection);
    EXPECT_EQ(minions.crash_count(), 1);
    EXPECT_EQ(minions.crash_count("j.0.0.0"), 1);
    EXPECT_TRUE(wait_for(
        [&]
        {
            const std::map<std::string, json> now = entries(store);
            return now.size() == 1 &&
                   now.begin()->second.at("born") > before.at("born");
        }));
}

TEST(simulated_minions, only_the_task_with_the_index_crashes_its_minion)
{
    memory_store store;
    simulated_minions minions(store, 1);
    const std::string address = entries(store).at("servers/i-0").at("address");
    ASSERT_EQ(start(address, "60 1 1 30")->status, 200);
    EXPECT_TRUE(wait_for([&] { return !minions.completion_counts().empty(); }));
    EXPECT_EQ(minions.crash_count(), 0);
}

// A minion that crashes before it was told that an end was noted has lost it.
TEST(simulated_minions, a_task_whose_end_was_lost_may_run_again)
{
    for (const std::int64_t last_seen : {0, 1})
    {
        memory_store store;
        simulated_minions minions(store, 1);
        std::string address = entries(store).at("servers/i-0").at("address");
        ASSERT_EQ(start(address, "1")->status, 200);
        ASSERT_TRUE(
            wait_for([&] { return !minions.completion_counts().empty(); }));
        ASSERT_EQ(post(address, "hold",
                       {{"fencingToken", 1}, {"lastSeen", last_seen}})
                      ->status,
                  200);
        minions.crash_one(0);
        // It may come back under another id, which the calls have to name.
        std::string id;
        ASSERT_TRUE(wait_for(
            [&]
            {
                const std::map<std::string, json> now = entries(store);
                id = now.empty() ? "" : now.begin()->first;
                address = now.empty() ? "" : now.begin()->second.at("address");
                return now.size() == 1 &&
                       post(address, "hold",
                            {{"fencingToken", 1}, {"lastSeen", 0}});
            }));
        httplib::Client client("http://" + address);
        const json order{{"task", "j.0.0.0"},
                         {"run", 2},
                         {"spec", "1"},
                         {"deadlineMs", node::boottime_now().count() + 30'000},
                         {"fencingToken", 1}};
        ASSERT_EQ(
            client
                .Post("/kingcuprudder/run-start",
                      {{"X-Target-Instance", id.substr(id.find('/') + 1)}},
                      order.dump(), "application/json")
                ->status,
            200);
        EXPECT_EQ(minions.violations().empty(), last_seen == 0);
    }
}

TEST(simulated_minions, a_late_start_reaches_the_next_process_under_the_id)
{
    memory_store store;
    simulated_minions minions(store, 1);
    const std::string address = entries(store).at("servers/i-0").at("address");
    minions.lose_calls(1, 1);
    // Half of the starts are dropped, the others are late by different times.
    constexpr int starts = 40;
    std::vector<std::thread> calls;
    calls.reserve(starts);
    for (int index = 0; index < starts; ++index)
    {
        calls.emplace_back(
            [&address, index]
            {
                post(address, "run-start",
                     {{"task", "j.0.0." + std::to_string(index)},
                      {"run", 1},
                      {"spec", "60000"},
                      {"deadlineMs", 5000},
                      {"fencingToken", 1}});
            });
    }
    for (std::thread& each : calls)
    {
        each.join();
    }
    ASSERT_TRUE(minions.restart_one_with_late_start(0));
    minions.lose_calls(0, 1);
    EXPECT_TRUE(wait_for(
        [&]
        {
            const auto answer =
                post(entries(store).at("servers/i-0").at("address"), "hold",
                     {{"fencingToken", 1}, {"lastSeen", 0}});
            return answer && !json::parse(answer->body).at("running").empty();
        }));
}

TEST(simulated_minions, a_restarted_minions_clock_starts_anew)
{
    memory_store store;
    simulated_minions minions(store, 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    const auto clock = [&]
    { return entries(store).begin()->second.at("clockMs").get<int>(); };
    const std::int64_t born = entries(store).begin()->second.at("born");
    ASSERT_TRUE(wait_for([&] { return clock() > 400; }));
    const instant crashed_at = node::boottime_now();
    minions.crash_one(0);
    ASSERT_TRUE(wait_for(
        [&]
        {
            const auto listed = entries(store);
            return !listed.empty() && listed.begin()->second.at("born") > born;
        }));
    EXPECT_LT(clock(), (node::boottime_now() - crashed_at).count());
}

TEST(simulated_minions, a_lease_ends_after_the_maximum_whatever_its_deadline)
{
    memory_store store;
    simulated_minions minions(store, 1, span(300));
    const std::string address = entries(store).at("servers/i-0").at("address");
    ASSERT_EQ(start(address, "60000")->status, 200);
    const auto answer =
        post(address, "hold",
             {{"fencingToken", 1}, {"lastSeen", 0}, {"waitMs", 2000}});
    EXPECT_EQ(json::parse(answer->body).at("ended").at(0).at(3), "lapsed");
}

TEST(simulated_minions, a_call_for_another_minion_is_refused)
{
    memory_store store;
    simulated_minions minions(store, 2);
    const json body{{"fencingToken", 1}, {"lastSeen", 0}};
    const auto listed = entries(store);
    EXPECT_EQ(
        post(listed.at("servers/i-0").at("address"), "hold", body)->status,
        200);
    EXPECT_EQ(
        post(listed.at("servers/i-1").at("address"), "hold", body)->status,
        421);
}

TEST(simulated_minions, a_false_entry_lasts_until_the_next_heartbeat)
{
    using false_entry = simulated_minions::false_entry;
    for (const false_entry kind :
         {false_entry::later_start, false_entry::other_address,
          false_entry::other_id, false_entry::unreadable})
    {
        memory_store store;
        simulated_minions minions(store, 2);
        const auto identities = [&]
        {
            std::map<std::string, std::pair<json, json>> found;
            for (const auto& [id, entry] : entries(store))
            {
                found[id] = {entry.at("address"), entry.at("born")};
            }
            return found;
        };
        const auto before = identities();
        minions.write_false_entry(kind, 0);
        EXPECT_NE(identities(), before);
        EXPECT_TRUE(wait_for([&] { return identities() == before; }));
    }
}

TEST(simulated_minions, a_snapshot_has_the_tasks_and_the_events_since)
{
    memory_store store;
    simulated_minions minions(store, 2);
    EXPECT_EQ(minions.snapshot(0).m_minions.size(), 2);
    EXPECT_EQ(minions.snapshot(0).m_event_count, 0);
    const std::string address = entries(store).at("servers/i-0").at("address");
    ASSERT_EQ(start(address, "1500")->status, 200);
    const minions_snapshot running = minions.snapshot(0);
    EXPECT_EQ(running.m_minions[0].m_id, "i-0");
    EXPECT_EQ(running.m_minions[0].m_pool, "pool");
    EXPECT_EQ(running.m_minions[0].m_capacity.m_gpus, 8);
    EXPECT_EQ(running.m_minions[0].m_running,
              std::vector<std::string>{"j.0.0.0"});
    EXPECT_TRUE(running.m_minions[1].m_running.empty());
    ASSERT_EQ(running.m_events.size(), 1);
    EXPECT_EQ(running.m_events[0].m_task, "j.0.0.0");
    EXPECT_EQ(running.m_events[0].m_run, 1);
    EXPECT_FALSE(running.m_events[0].m_outcome);
    ASSERT_TRUE(wait_for(
        [&] {
            return minions.snapshot(running.m_event_count).m_event_count == 2;
        }));
    const minions_snapshot ended = minions.snapshot(running.m_event_count);
    EXPECT_TRUE(ended.m_minions[0].m_running.empty());
    ASSERT_EQ(ended.m_events.size(), 1);
    EXPECT_EQ(ended.m_events[0].m_outcome, dispatch::run_outcome::done);
    EXPECT_GE(ended.m_events[0].m_at - running.m_events[0].m_at, span(1500));
}

TEST(simulated_minions, a_snapshot_has_no_minion_that_has_crashed)
{
    memory_store store;
    simulated_minions minions(store, 1);
    EXPECT_EQ(minions.snapshot(0).m_minions.size(), 1);
    EXPECT_TRUE(wait_for(
        [&]
        {
            minions.crash_one(0);
            return minions.snapshot(0).m_minions.empty();
        }));
}

TEST(simulated_minions, a_minion_that_drains_does_not_leave_at_once)
{
    memory_store store;
    minion_options options;
    options.m_count = 1;
    options.m_drain_time = span(600);
    simulated_minions minions(store, options);
    const std::string address = entries(store).at("servers/i-0").at("address");
    ASSERT_EQ(start(address, "60000")->status, 200);
    const instant begin = node::boottime_now();
    ASSERT_TRUE(minions.drain_one(0));
    EXPECT_FALSE(minions.drain_one(0));
    EXPECT_EQ(minions.ready_count(), 0);
    ASSERT_TRUE(wait_for(
        [&]
        {
            const auto listed = entries(store);
            return !listed.empty() &&
                   listed.begin()->second.at("state") == "draining" &&
                   listed.begin()->second.contains("drainRemainingMs");
        }));
    EXPECT_EQ(minions.run_count("j.0.0.0"), 1);
    ASSERT_TRUE(wait_for([&] { return entries(store).empty(); }));
    EXPECT_GE(node::boottime_now() - begin, options.m_drain_time);
    EXPECT_EQ(minions.run_count("j.0.0.0"), 0);
    EXPECT_EQ(minions.crash_count(), 0);
    EXPECT_EQ(post(address, "hold", {}).error(), httplib::Error::Connection);
    minions.add_one(0);
    EXPECT_EQ(minions.ready_count(), 1);
}

TEST(simulated_minions, a_run_that_carries_progress_does_not_begin_anew)
{
    memory_store store;
    simulated_minions minions(store, 1);
    const std::string address = entries(store).at("servers/i-0").at("address");
    const std::string spec = R"({"runMs":60000,"saves":true})";
    ASSERT_EQ(start(address, spec)->status, 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    ASSERT_EQ(post(address, "run-stop",
                   {{"task", "j.0.0.0"}, {"run", 1}, {"fencingToken", 1}})
                  ->status,
              200);
    const auto answer =
        post(address, "hold", {{"fencingToken", 1}, {"lastSeen", 0}});
    const json ended = json::parse(answer->body).at("ended").at(0);
    EXPECT_EQ(ended.at(3), "stopped");
    EXPECT_GE(std::stoi(ended.at(4).get<std::string>()), 50);
    ASSERT_EQ(post(address, "run-start",
                   {{"task", "j.0.0.0"},
                    {"run", 2},
                    {"spec", spec},
                    {"saved", "59900"},
                    {"deadlineMs", node::boottime_now().count() + 30'000},
                    {"fencingToken", 1}})
                  ->status,
              200);
    EXPECT_TRUE(wait_for([&] { return !minions.completion_counts().empty(); }));
}

TEST(simulated_minions, a_persistent_task_does_not_end)
{
    memory_store store;
    simulated_minions minions(store, 1);
    const std::string address = entries(store).at("servers/i-0").at("address");
    ASSERT_EQ(start(address, R"({"runMs":1,"lasts":true})")->status, 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    const auto answer =
        post(address, "hold", {{"fencingToken", 1}, {"lastSeen", 0}});
    const json body = json::parse(answer->body);
    EXPECT_TRUE(body.at("ended").empty());
    EXPECT_EQ(body.at("running").at(0).at(3), 100);
}

TEST(simulated_minions, tasks_that_need_more_than_there_is_are_reported)
{
    memory_store store;
    simulated_minions minions(store, 1);
    const std::string address = entries(store).at("servers/i-0").at("address");
    ASSERT_EQ(start(address, R"({"runMs":9000,"gpu":8})")->status, 200);
    EXPECT_TRUE(minions.violations().empty());
    ASSERT_EQ(post(address, "run-start",
                   {{"task", "j.0.0.1"},
                    {"run", 1},
                    {"spec", R"({"runMs":9000,"gpu":1})"},
                    {"deadlineMs", node::boottime_now().count() + 30'000},
                    {"fencingToken", 1}})
                  ->status,
              200);
    EXPECT_EQ(minions.violations().size(), 1u);
}

} // namespace kingcuprudder::stand_ins
