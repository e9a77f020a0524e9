#include "test_region.hpp"
#include <kingcuprudder/runtime/steady_time.hpp>

#include <gtest/gtest.h>

#include <future>
#include <mutex>

namespace kingcuprudder
{
namespace
{

using stand_ins::fake_store;

struct observed_live_state
{
    explicit observed_live_state(const std::string& address) : m_store(address)
    {
    }

    ~observed_live_state() { m_store.stop(); }

    std::uint64_t revision() const { return m_live.settings_tree().second; }

    std::vector<std::uint64_t> seen() const
    {
        std::lock_guard lock(m_mutex);
        return m_seen;
    }

    mutable std::mutex m_mutex;
    std::vector<std::uint64_t> m_seen;
    http_key_value_store m_store;
    live_state m_live{
        m_store, region_id("r"),
        [this](const std::shared_ptr<const effective_settings>& settings)
        {
            std::lock_guard lock(m_mutex);
            m_seen.push_back(settings->m_revision);
        },
        [](const std::optional<owner_record>&, store_revision) {}};
};

// Guards against a change that takes longer than 3 s to take effect.
TEST(live_state, a_change_is_followed_within_three_seconds)
{
    fake_store server;
    server.put("live/settings", test_settings());
    observed_live_state state(server.address());
    ASSERT_TRUE(wait_until([&] { return state.revision() == 1; }));
    for (std::uint64_t revision = 2; revision < 6; ++revision)
    {
        const std::int64_t begin = steady_milliseconds();
        server.put("live/settings", test_settings());
        ASSERT_TRUE(wait_until([&] { return state.revision() == revision; }));
        EXPECT_LT(steady_milliseconds() - begin, 3000);
    }
}

// Guards against settings that revert to an earlier revision, received from a
// peer with older settings or from a store that lost its data.
TEST(live_state, settings_never_go_back)
{
    observed_live_state* state = nullptr;
    std::unique_ptr<observed_live_state> holder;
    std::string address;
    {
        fake_store server;
        address = server.address();
        server.put("live/settings", test_settings());
        server.put("live/settings", test_settings());
        holder = std::make_unique<observed_live_state>(address);
        state = holder.get();
        ASSERT_TRUE(wait_until([&] { return state->revision() == 2; }));
        state->m_live.offer_settings_tree(test_settings(), 1);
        state->m_live.offer_settings_tree(test_settings(), 9);
        EXPECT_EQ(state->revision(), 9U);
        server.put("live/settings", test_settings());
        server.put("live/marker", "x");
    }
    ASSERT_TRUE(wait_until([&] { return !state->m_live.store_reachable(); }));
    fake_store restarted(address);
    restarted.put("live/settings", test_settings());
    ASSERT_TRUE(wait_until([&] { return state->m_live.store_reachable(); }));
    ASSERT_TRUE(
        wait_until([&] { return restarted.counters().m_watches >= 2; }));
    EXPECT_EQ(state->revision(), 9U);
    EXPECT_EQ(state->seen(), (std::vector<std::uint64_t>{2, 9}));
}

// Guards against an invalid tree that replaces a valid one.
TEST(live_state, a_bad_tree_leaves_the_settings_in_force)
{
    fake_store server;
    server.put("live/settings", test_settings());
    observed_live_state state(server.address());
    ASSERT_TRUE(wait_until([&] { return state.revision() == 1; }));
    server.put("live/settings", "{");
    server.put("live/settings", test_settings());
    ASSERT_TRUE(wait_until([&] { return state.revision() == 3; }));
    EXPECT_EQ(state.seen().back(), 3U);
    EXPECT_EQ(state.m_live.settings()->m_revision, 3U);
}

// Guards against a process that has lost its watch and keeps old settings
// although it exchanges calls with a peer that has newer ones.
TEST(live_state, a_call_brings_both_sides_to_the_newer_settings)
{
    fake_store left_store;
    fake_store right_store;
    left_store.put("live/settings", test_settings());
    right_store.put("live/settings", test_settings());
    observed_live_state left(left_store.address());
    observed_live_state right(right_store.address());
    ASSERT_TRUE(wait_until(
        [&] { return left.revision() == 1 && right.revision() == 1; }));
    peer_call_handler handler(
        right.m_live, [](const std::string& content,
                         const std::function<void(const std::string&)>& respond)
        { respond(content); });
    stream_server server("127.0.0.1:0", handler);
    stream_client client;
    peer_calls calls(client, left.m_live);
    auto exchange = [&]
    {
        std::promise<result<std::string>> done;
        calls.call(server.address(), "x", span::seconds(5),
                   [&](result<std::string> answer)
                   { done.set_value(std::move(answer)); });
        const auto answer = done.get_future().get();
        ASSERT_TRUE(succeeded(answer));
        EXPECT_EQ(value_of(answer), "x");
    };
    left.m_live.offer_settings_tree(test_settings(), 5);
    exchange();
    EXPECT_TRUE(wait_until([&] { return right.revision() == 5; }));
    right.m_live.offer_settings_tree(test_settings(), 6);
    exchange();
    EXPECT_TRUE(wait_until([&] { return left.revision() == 6; }));
}

} // namespace
} // namespace kingcuprudder
