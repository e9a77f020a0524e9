#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>
#include <kingcuprudder/stream/socket_handle.hpp>

#include <gtest/gtest.h>
#include <stand_ins/fake_store.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace kingcuprudder
{
namespace
{

using stand_ins::fake_store;

template <class Outcome, class Operation>
Outcome expect(key_value_store& store, Operation operation)
{
    const store_answer answer = store.call({5, operation});
    EXPECT_EQ(answer.m_call, 5U);
    const auto* outcome = std::get_if<Outcome>(&answer.m_outcome);
    EXPECT_NE(outcome, nullptr) << "outcome " << answer.m_outcome.index();
    return outcome == nullptr ? Outcome{} : *outcome;
}

// Guards against a value or revision that is altered in transit, and against a
// write over a newer revision.
TEST(store, compare_and_swap_writes_only_over_the_expected_revision)
{
    fake_store server;
    http_key_value_store store(server.address());
    const std::string bytes("\0\xff binary \n", 11);
    EXPECT_EQ(expect<store_value>(store, store_get{"a/b"}), store_value{});
    const auto first =
        expect<store_written>(store, store_put{"a/b", bytes, 0, ""});
    EXPECT_EQ(expect<store_value>(store, store_get{"a/b"}),
              (store_value{bytes, first.m_revision}));
    EXPECT_EQ(
        expect<store_conflict>(store, store_put{"a/b", "x", 0, ""}).m_revision,
        first.m_revision);
    EXPECT_EQ(expect<store_conflict>(store, store_delete{"a/b", 99}).m_revision,
              first.m_revision);
    expect<store_written>(store, store_delete{"a/b", first.m_revision});
    EXPECT_EQ(expect<store_value>(store, store_get{"a/b"}), store_value{});
}

// Guards against two writes that both succeed over the same revision.
TEST(store, one_of_many_concurrent_writers_wins)
{
    fake_store server;
    http_key_value_store store(server.address());
    std::atomic<int> written = 0;
    std::vector<std::thread> writers;
    for (int i = 0; i < 8; ++i)
    {
        writers.emplace_back(
            [&, i]
            {
                const auto answer =
                    store.call({1, store_put{"key", std::to_string(i), 0, ""}});
                written +=
                    std::holds_alternative<store_written>(answer.m_outcome);
            });
    }
    for (std::thread& each : writers)
    {
        each.join();
    }
    EXPECT_EQ(written, 1);
    EXPECT_EQ(server.counters().m_conflicts, 7U);
}

// Guards against reporting a write as done, or retrying it, when its answer was
// lost.
TEST(store, lost_answer_to_a_write_is_a_failure_and_is_not_repeated)
{
    fake_store server;
    http_key_value_store store(server.address(), span(300));
    stand_ins::store_faults faults;
    faults.m_lose_next_write_answers = 1;
    server.set_faults(faults);
    expect<store_failed>(store, store_put{"key", "x", 0, ""});
    EXPECT_EQ(server.get("key").m_value, "x");
    EXPECT_EQ(server.counters().m_puts, 1U);
}

// Guards against a client that does not recover from an outage, and against one
// that waits longer than its timeout.
TEST(store, calls_fail_in_time_during_an_outage_and_work_after_it)
{
    fake_store server;
    http_key_value_store store(server.address(), span(300));
    const auto written =
        expect<store_written>(store, store_put{"key", "x", 0, ""});
    stand_ins::store_faults faults;
    faults.m_outage = true;
    server.set_faults(faults);
    const std::int64_t begin = steady_milliseconds();
    expect<store_failed>(store, store_put{"key", "y", written.m_revision, ""});
    EXPECT_LT(steady_milliseconds() - begin, 1000);
    EXPECT_FALSE(succeeded(store.watch("key", 0, span(100))));
    server.set_faults({});
    EXPECT_EQ(expect<store_value>(store, store_get{"key"}).m_value, "x");
}

// Guards against reusing an unresponsive connection: the read reaches the store
// on a second connection.
TEST(store, a_read_is_tried_again_on_a_new_connection)
{
    const socket_handle silent = listen_on("127.0.0.1:0");
    http_key_value_store store(local_address(silent), span(200));
    const std::int64_t begin = steady_milliseconds();
    expect<store_failed>(store, store_get{"key"});
    const std::int64_t two_timeouts = 400;
    EXPECT_GE(steady_milliseconds() - begin, two_timeouts);
    EXPECT_TRUE(accept_from(silent).is_open());
    EXPECT_TRUE(accept_from(silent).is_open());
}

// Guards against a key that outlives its lease, and against a watch that
// misses the deletion.
TEST(store, a_key_is_deleted_with_its_lease_and_the_watch_reports_it)
{
    fake_store server;
    http_key_value_store store(server.address());
    const auto lease = expect<lease_granted>(store, lease_grant{span(300)});
    const auto written = expect<store_written>(
        store, store_put{"live/owner", "me", 0, lease.m_lease});
    EXPECT_EQ(expect<lease_granted>(store, lease_renew{lease.m_lease}), lease);
    const auto batch =
        store.watch("live/", written.m_revision, span::seconds(5));
    ASSERT_TRUE(succeeded(batch));
    ASSERT_EQ(value_of(batch).m_events.size(), 1U);
    EXPECT_EQ(value_of(batch).m_events[0].m_key, "live/owner");
    EXPECT_TRUE(value_of(batch).m_events[0].m_deleted);
    expect<lease_lapsed>(store, lease_renew{lease.m_lease});
    expect<lease_lapsed>(store, store_put{"other", "", 0, lease.m_lease});
}

// Guards against a watch that ends early or late, or reports other keys.
TEST(store, a_waiting_watch_returns_with_the_first_change_below_its_prefix)
{
    fake_store server;
    http_key_value_store store(server.address());
    server.put("live/a", "1");
    const auto present = store.watch("live/", 0, span::seconds(5));
    ASSERT_TRUE(succeeded(present));
    ASSERT_EQ(value_of(present).m_events.size(), 1U);
    std::thread writer(
        [&]
        {
            while (server.counters().m_waiting_watches == 0)
            {
                std::this_thread::yield();
            }
            server.put("other/x", "1");
            server.put("live/b", "2");
        });
    const auto changed =
        store.watch("live/", value_of(present).m_revision, span::seconds(20));
    writer.join();
    ASSERT_TRUE(succeeded(changed));
    ASSERT_EQ(value_of(changed).m_events.size(), 1U);
    EXPECT_EQ(value_of(changed).m_events[0].m_key, "live/b");
}

} // namespace
} // namespace kingcuprudder
