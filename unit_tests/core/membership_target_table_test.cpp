#include <kingcuprudder/membership/target_table.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

const instant start(1'000'000);

listed_target listed(const std::string& start_id, bool draining = false)
{
    return {{service_id("s"), instance_id("m"), start_id, "127.0.0.1:1"},
            draining};
}

target_state state_of(target_table& table, const std::string& start_id)
{
    const target_table::target* found = table.find(listed(start_id).m_target);
    return found == nullptr ? target_state::gone : found->m_state;
}

void fail(target_table& table, const std::string& start_id, int times,
          instant now)
{
    for (int i = 0; i < times; ++i)
    {
        table.on_failure(listed(start_id).m_target, false, now);
    }
}

// Guards against a draining target that receives requests again because a
// stale list or an answer without the header shows it as live.
TEST(target_table, draining_is_final_until_a_new_start_id)
{
    target_table table;
    table.on_list({listed("1")}, start);
    table.on_answer(listed("1").m_target, true, false);
    EXPECT_EQ(state_of(table, "1"), target_state::draining);

    table.on_list({listed("1")}, start + span::seconds(1));
    table.on_answer(listed("1").m_target, false, false);
    table.on_answer(listed("1").m_target, false, true);
    EXPECT_EQ(state_of(table, "1"), target_state::draining);

    table.on_list({listed("2")}, start + span::seconds(2));
    EXPECT_EQ(state_of(table, "2"), target_state::live);

    // The earlier incarnation in a stale list changes nothing.
    table.on_list({listed("1", true)}, start + span::seconds(3));
    EXPECT_EQ(state_of(table, "2"), target_state::live);
}

// Guards against a target that stays in use after it has stopped answering,
// and against one that becomes suspect after isolated failures.
TEST(target_table, three_failures_in_a_row_make_a_target_suspect)
{
    target_table table;
    table.on_list({listed("1")}, start);
    fail(table, "1", 2, start);
    table.on_answer(listed("1").m_target, false, false);
    fail(table, "1", 2, start);
    EXPECT_EQ(state_of(table, "1"), target_state::live);
    fail(table, "1", 1, start);
    EXPECT_EQ(state_of(table, "1"), target_state::suspect);
}

// Guards against flooding a failing target with probes.
TEST(target_table, a_suspect_target_gets_single_probes_with_growing_delays)
{
    target_table table;
    table.on_list({listed("1")}, start);
    fail(table, "1", 3, start);
    EXPECT_TRUE(table.start_due_probes(start).empty());

    instant now = start;
    std::vector<span> delays;
    instant last = start;
    while (delays.size() < 4)
    {
        now = now + span(100);
        const auto due = table.start_due_probes(now);
        if (due.empty())
        {
            continue;
        }
        ASSERT_EQ(due.size(), 1U);
        EXPECT_TRUE(table.start_due_probes(now + span::hours(1)).empty())
            << "a second probe while one is in progress";
        delays.push_back(now - last);
        last = now;
        table.on_failure(due[0], true, now);
    }
    EXPECT_EQ(delays, (std::vector<span>{span(500), span(1000), span(2000),
                                         span(4000)}));

    table.on_answer(listed("1").m_target, false, true);
    EXPECT_EQ(state_of(table, "1"), target_state::live);
    // A target that answers probes may still fail calls: one failed call now
    // makes it suspect again.
    fail(table, "1", 1, now);
    EXPECT_EQ(state_of(table, "1"), target_state::suspect);
}

// Guards against losing targets because the list shrank by mistake, and
// against keeping targets that are neither listed nor reachable.
TEST(target_table, a_missing_entry_alone_removes_no_target_that_answers)
{
    target_table table;
    table.on_list({listed("1")}, start);
    table.on_list({}, start + span::seconds(1));
    for (int i = 1; i < 60; ++i)
    {
        const instant now = start + span::seconds(1 + i);
        for (const target_ref& each : table.start_due_probes(now))
        {
            table.on_answer(each, false, true);
        }
        table.on_tick(now);
        ASSERT_EQ(state_of(table, "1"), target_state::live);
    }
    const instant later = start + span::seconds(70);
    fail(table, "1", 3, later);
    table.on_tick(later);
    EXPECT_EQ(state_of(table, "1"), target_state::gone);
    EXPECT_TRUE(table.start_due_probes(later + span::hours(1)).empty());

    table.on_list({listed("1")}, later);
    EXPECT_EQ(state_of(table, "1"), target_state::suspect);
}

// Guards against a late answer of an earlier incarnation that changes the state
// of the current one.
TEST(target_table, outcomes_of_an_earlier_incarnation_are_ignored)
{
    target_table table;
    table.on_list({listed("1")}, start);
    table.on_list({listed("2")}, start);
    table.on_answer(listed("1").m_target, true, false);
    fail(table, "1", 3, start);
    EXPECT_EQ(state_of(table, "2"), target_state::live);
}

} // namespace
} // namespace kingcuprudder
