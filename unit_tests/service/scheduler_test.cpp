#include "test_region.hpp"

#include <gtest/gtest.h>

#include <httplib.h>

namespace kingcuprudder
{
namespace
{

using attempts = std::map<std::uint32_t, int>;

void expect_success(const result<caller_reply>& reply)
{
    ASSERT_TRUE(succeeded(reply)) << error_of(reply).m_message;
}

// Guards against a gang that runs partially or twice.
TEST(scheduler, a_gang_runs_exactly_once_on_all_its_accelerators)
{
    test_region region(8, 1);
    const job_spec spec = test_region::gang("j", 64, 300);
    expect_success(region.submit(spec));
    EXPECT_EQ(region.end_of(spec), "succeeded");
    EXPECT_EQ(region.started(spec.m_key), (attempts{{1, 64}}));
}

// Guards against a store outage that stops a running gang, loses its completion
// or starts it twice.
TEST(scheduler, a_gang_ends_once_across_a_store_outage)
{
    test_region region(8, 1);
    const job_spec spec = test_region::gang("j", 64, 3000);
    expect_success(region.submit(spec));
    ASSERT_TRUE(
        wait_until([&] { return region.started(spec.m_key)[1] == 64; }));
    stand_ins::store_faults faults;
    faults.m_outage = true;
    region.m_store.set_faults(faults);
    const auto ended = [&]
    {
        std::size_t count = 0;
        for (const auto& each : region.m_workers)
        {
            count += each->history().size() == 2 ? 1 : 0;
        }
        return count == 8;
    };
    ASSERT_TRUE(wait_until(ended));
    region.m_store.set_faults({});
    EXPECT_EQ(region.end_of(spec), "succeeded");
    EXPECT_EQ(region.started(spec.m_key), (attempts{{1, 64}}));
}

// Guards against a decision that is made twice, or lost, when the answers to
// the owner's writes are lost.
TEST(scheduler, lost_answers_to_writes_neither_repeat_nor_lose_a_job)
{
    test_region region(8, 1);
    ASSERT_TRUE(wait_until([&] { return !region.owner().empty(); }));
    stand_ins::store_faults faults;
    faults.m_lose_next_write_answers = 3;
    region.m_store.set_faults(faults);
    for (int i = 0; i < 4; ++i)
    {
        const job_spec spec =
            test_region::gang("j" + std::to_string(i), 16, 200);
        expect_success(region.submit(spec));
        EXPECT_EQ(region.end_of(spec), "succeeded");
        EXPECT_EQ(region.started(spec.m_key), (attempts{{1, 16}}));
    }
}

// Guards against a takeover that loses, stops or repeats a running gang.
TEST(scheduler, a_standby_takes_over_a_running_gang_from_a_killed_owner)
{
    test_region region(8, 2);
    const job_spec spec = test_region::gang("j", 64, 8000);
    expect_success(region.submit(spec));
    ASSERT_TRUE(
        wait_until([&] { return region.started(spec.m_key)[1] == 64; }));
    const std::string first = region.owner();
    const epoch_number epoch = region.m_schedulers[first]->epoch();
    region.m_schedulers.erase(first);
    ASSERT_TRUE(wait_until([&] { return !region.owner().empty(); }));
    EXPECT_NE(region.owner(), first);
    EXPECT_GT(region.m_schedulers[region.owner()]->epoch(), epoch);
    EXPECT_EQ(region.end_of(spec), "succeeded");
    EXPECT_EQ(region.started(spec.m_key), (attempts{{1, 64}}));
}

// Guards against a graceful shutdown that leaves the region without an owner
// until the lease expires.
TEST(scheduler, a_graceful_shutdown_hands_the_region_over_at_once)
{
    test_region region(8, 2);
    ASSERT_TRUE(wait_until([&] { return !region.owner().empty(); }));
    const std::string first = region.owner();
    scheduler_service& leaving = *region.m_schedulers[first];
    const auto begin = std::chrono::steady_clock::now();
    leaving.begin_shutdown();
    ASSERT_TRUE(wait_until([&] { return leaving.shut_down(); }));
    ASSERT_TRUE(wait_until(
        [&] { return !region.owner().empty() && region.owner() != first; }));
    const auto spent = std::chrono::steady_clock::now() - begin;
    EXPECT_LT(spent, std::chrono::seconds(3));
    const job_spec spec = test_region::gang("j", 64, 200);
    expect_success(region.submit(spec));
    EXPECT_EQ(region.end_of(spec), "succeeded");
}

// Guards against a gang that is blocked by a worker on which every task fails,
// and against partial runs of later attempts.
TEST(scheduler, a_gang_moves_away_from_a_worker_that_fails_its_tasks)
{
    test_region region(9, 1);
    stand_ins::worker_faults faults;
    faults.m_fail_every_task = true;
    region.m_workers[0]->set_faults(faults);
    const job_spec spec = test_region::gang("j", 64, 300);
    expect_success(region.submit(spec));
    EXPECT_EQ(region.end_of(spec), "succeeded");
    for (const auto& [number, accelerators] : region.started(spec.m_key))
    {
        EXPECT_EQ(accelerators, 64) << "attempt " << number;
    }
}

// Guards against a second attempt that starts while a lost worker may still run
// the first one. The lost worker must have stopped its tasks before.
TEST(scheduler, a_gang_is_repeated_only_after_a_lost_worker_has_stopped)
{
    test_region region(9, 1, test_settings(R"({"min_task_lease_s":6})"));
    const job_spec spec = test_region::gang("j", 64, 9000);
    ASSERT_TRUE(wait_until([&] { return !region.owner().empty(); }));
    expect_success(region.submit(spec));
    ASSERT_TRUE(
        wait_until([&] { return region.started(spec.m_key)[1] == 64; }));
    std::size_t lost = 0;
    while (region.m_workers[lost]->history().empty())
    {
        ++lost;
    }
    stand_ins::worker_faults faults;
    faults.m_partition = true;
    region.m_workers[lost]->set_faults(faults);
    EXPECT_EQ(region.end_of(spec), "succeeded");
    EXPECT_EQ(region.started(spec.m_key), (attempts{{1, 64}, {2, 64}}));
    const auto history = region.m_workers[lost]->history();
    ASSERT_EQ(history.size(), 2U);
    EXPECT_EQ(history[1].m_state, task_state::stopped);
    for (const auto& each : region.m_workers)
    {
        for (const stand_ins::task_event& event : each->history())
        {
            if (event.m_is_start && event.m_attempt.m_attempt == 2)
            {
                EXPECT_GE(event.m_at, history[1].m_at);
            }
        }
    }
}

// Guards against a worker that still receives new work 3 s after it was listed
// as draining.
TEST(scheduler, a_leaving_worker_gets_no_new_work)
{
    test_region region(9, 1);
    ASSERT_TRUE(wait_until([&] { return !region.owner().empty(); }));
    region.m_list.set_state("w0", "leaving");
    const instant listed = system_now();
    for (int i = 0; system_now() < listed + span::seconds(5); ++i)
    {
        const job_spec spec =
            test_region::gang("j" + std::to_string(i), 64, 100);
        expect_success(region.submit(spec));
        EXPECT_EQ(region.end_of(spec), "succeeded");
    }
    for (const stand_ins::task_event& each : region.m_workers[0]->history())
    {
        EXPECT_LT(each.m_at, listed + span::seconds(3));
    }
}

// Guards against metrics that do not reflect the state.
TEST(scheduler, metrics_show_ownership_and_settings)
{
    test_region region(1, 1);
    ASSERT_TRUE(wait_until([&] { return !region.owner().empty(); }));
    httplib::Client client("http://" +
                           region.m_schedulers["scheduler-0"]->http_address());
    const auto answer = client.Get("/metrics");
    ASSERT_TRUE(answer);
    for (const char* line :
         {"kcr_scheduler_owner_bool 1\n", "kcr_scheduler_epoch 1\n",
          "kcr_scheduler_settings_revision 1\n"})
    {
        EXPECT_NE(answer->body.find(line), std::string::npos) << line;
    }
}

// Guards against a standby that does not answer a call or handles it itself.
TEST(scheduler, a_standby_names_the_owner)
{
    test_region region(1, 2);
    ASSERT_TRUE(wait_until([&] { return !region.owner().empty(); }));
    const std::string owner = region.owner();
    const std::string standby =
        owner == "scheduler-0" ? "scheduler-1" : "scheduler-0";
    const std::string address = region.m_schedulers[owner]->stream_address();
    ASSERT_TRUE(wait_until([&] { return region.m_live->owner().has_value(); }));
    region.m_owner_calls.on_owner(owner_record{
        instance_id(standby), region.m_schedulers[standby]->stream_address()});
    EXPECT_TRUE(wait_until(
        [&]
        {
            const auto reply =
                region.m_owner_calls.call_once(list_jobs{}, span::seconds(5));
            return succeeded(reply);
        }));
    EXPECT_EQ(region.m_owner_calls.owner_address(), address);
}

} // namespace
} // namespace kingcuprudder
