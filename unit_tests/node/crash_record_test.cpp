#include <gtest/gtest.h>
#include <stand_ins/crash_record.hpp>

namespace kingcuprudder::stand_ins
{

namespace
{

void start_and_crash(crash_record& record, int times)
{
    for (int at = 0; at < times; ++at)
    {
        record.note_start("j.0.0.0", true);
        record.note_crash("j.0.0.0");
    }
}

} // namespace

TEST(crash_record, a_third_start_after_three_crashes_exceeds_the_budget)
{
    crash_record record;
    start_and_crash(record, 5);
    EXPECT_TRUE(record.violations().empty());
    record.note_start("j.0.0.0", true);
    ASSERT_EQ(record.violations().size(), 1U);
    EXPECT_TRUE(record.violations()[0].starts_with("BUDGET: j.0.0.0"));
    start_and_crash(record, 3);
    EXPECT_EQ(record.violations().size(), 1U);
}

TEST(crash_record, tasks_are_counted_apart)
{
    crash_record record;
    start_and_crash(record, 3);
    for (int at = 0; at < 4; ++at)
    {
        record.note_start("j.0.0.1", true);
    }
    EXPECT_TRUE(record.violations().empty());
    EXPECT_EQ(record.crashes("j.0.0.0"), 3);
    EXPECT_EQ(record.crashes("j.0.0.1"), 0);
    EXPECT_EQ(record.starts("j.0.0.1"), 4);
}

TEST(crash_record, a_task_that_crashes_nothing_has_no_such_budget)
{
    crash_record record;
    for (int at = 0; at < 9; ++at)
    {
        record.note_start("j.0.0.0", false);
        record.note_crash("j.0.0.0");
    }
    EXPECT_TRUE(record.violations().empty());
}

} // namespace kingcuprudder::stand_ins
