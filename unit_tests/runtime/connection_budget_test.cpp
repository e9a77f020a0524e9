#include <kingcuprudder/runtime/connection_budget.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{

namespace
{

constexpr std::size_t kb = 1024;

connection_usage usage(connection_phase phase, std::size_t bytes,
                       std::int64_t since_ms)
{
    return {phase, bytes, instant(since_ms)};
}

} // namespace

// Guards against ordinary callers that pay for a crowd with large requests.
TEST(connection_budget, large_and_slow_requests_are_dropped_first)
{
    connection_budget budget({100, 400 * kb});
    budget.update(1, usage(connection_phase::receiving, 200 * kb, 900));
    budget.update(2, usage(connection_phase::receiving, 150 * kb, 100));
    for (std::uint64_t id = 3; id < 9; ++id)
    {
        budget.update(id, usage(connection_phase::receiving, 16 * kb, 0));
    }
    EXPECT_EQ(budget.over_bytes(instant(1000)), 2u);
    budget.update(2, usage(connection_phase::ending, 0, 100));
    EXPECT_EQ(budget.over_bytes(instant(1000)), std::nullopt);
    EXPECT_EQ(budget.held_bytes(), (200 + 6 * 16) * kb);
    budget.remove(1);
    EXPECT_EQ(budget.held_bytes(), 6 * 16 * kb);
}

TEST(connection_budget, a_request_that_is_handled_is_not_dropped)
{
    connection_budget budget({100, 100 * kb});
    budget.update(1, usage(connection_phase::handling, 200 * kb, 0));
    budget.update(2, usage(connection_phase::waiting, 50 * kb, 900));
    budget.update(3, usage(connection_phase::sending, 40 * kb, 900));
    EXPECT_EQ(budget.over_bytes(instant(1000)), 2u);
}

// Guards against a single request that is refused in calm.
TEST(connection_budget, a_connection_that_alone_is_over_the_budget_is_kept)
{
    connection_budget budget({100, 100 * kb});
    budget.update(1, usage(connection_phase::sending, 200 * kb, 0));
    budget.update(2, usage(connection_phase::idle, 2 * kb, 0));
    EXPECT_EQ(budget.over_bytes(instant(1000)), std::nullopt);
}

TEST(connection_budget, an_idle_connection_makes_room_before_a_slow_one)
{
    connection_budget budget({3, 100 * kb});
    budget.update(1, usage(connection_phase::receiving, kb, 5));
    budget.update(2, usage(connection_phase::idle, kb, 20));
    EXPECT_EQ(budget.over_count(), std::nullopt);
    budget.update(3, usage(connection_phase::idle, kb, 10));
    EXPECT_EQ(budget.over_count(), 3u);
    budget.update(2, usage(connection_phase::waiting, kb, 20));
    budget.update(3, usage(connection_phase::receiving, kb, 30));
    EXPECT_EQ(budget.over_count(), 1u);
}

// Guards against connections without bound when none is idle, and against the
// end of one whose request was read whole.
TEST(connection_budget, the_number_of_connections_is_bounded)
{
    connection_budget budget({8, 100 * kb});
    for (std::uint64_t id = 1; id <= 9; ++id)
    {
        budget.update(id, usage(connection_phase::waiting, kb, 0));
    }
    EXPECT_FALSE(budget.is_full());
    budget.update(10, usage(connection_phase::ending, 0, 50));
    EXPECT_TRUE(budget.is_full());
    EXPECT_EQ(budget.longest_unanswered(), 10u);
    budget.update(10, usage(connection_phase::waiting, 0, 50));
    EXPECT_EQ(budget.longest_unanswered(), std::nullopt);
}

} // namespace kingcuprudder
