#include <kingcuprudder/node/record_removals.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace kingcuprudder::node
{

namespace
{

using group = std::vector<record_removal>;

const instant start = instant(1'000'000);
/// Longer than any pause between two groups.
constexpr span pause = span::seconds(10);

bool never_needed(const std::string&)
{
    return false;
}

} // namespace

// Guards against a removal that is repeated after a lost answer and removes the
// record of a job that was submitted again under the id since.
TEST(record_removals, a_record_that_was_written_again_is_not_removed)
{
    record_removals removals(never_needed);
    removals.schedule({"gone", 3}, start);
    removals.schedule({"unchanged", 4}, start);
    removals.schedule({"written again", 5}, start);
    EXPECT_EQ(removals.take(start).size(), 3U);
    removals.failed(start);
    EXPECT_TRUE(removals.take(start).empty());
    EXPECT_EQ(removals.take(start + pause).size(), 3U);
    removals.conflicted(
        {{{"gone", "", 0}, {"unchanged", "", 4}, {"written again", "", 9}}});
    EXPECT_EQ(removals.take(start + pause * 2), (group{{"unchanged", 4}}));
}

TEST(record_removals, a_record_is_not_removed_before_its_time)
{
    record_removals removals(never_needed);
    removals.schedule({"key", 1}, start + pause);
    EXPECT_TRUE(removals.take(start + pause - span(1)).empty());
    EXPECT_EQ(removals.take(start + pause), (group{{"key", 1}}));
}

// Guards against two transactions for the same records, and against a record
// that is written again while its removal is in flight.
TEST(record_removals, one_group_is_in_flight_at_a_time)
{
    record_removals removals(never_needed);
    removals.schedule({"key", 1}, start);
    EXPECT_EQ(removals.take(start), (group{{"key", 1}}));
    EXPECT_TRUE(removals.take(start + pause).empty());
    removals.schedule({"key", 2}, start + pause);
    removals.removed();
    EXPECT_EQ(removals.take(start + pause), (group{{"key", 2}}));
}

// Guards against the cancellation of a job that is removed before the end of
// the job is stored, and would be lost with the leader.
TEST(record_removals, a_record_that_is_needed_is_kept)
{
    bool needed = true;
    record_removals removals([&needed](const std::string& key)
                             { return needed && key == "needed"; });
    removals.schedule({"needed", 1}, start);
    removals.schedule({"other", 2}, start);
    EXPECT_EQ(removals.take(start), (group{{"other", 2}}));
    removals.removed();
    needed = false;
    EXPECT_EQ(removals.take(start + pause), (group{{"needed", 1}}));
}

// Guards against a record that is removed too early, as an earlier one under
// its key was scheduled before.
TEST(record_removals, a_newer_record_has_its_own_time)
{
    record_removals removals(never_needed);
    removals.schedule({"key", 1}, start);
    removals.schedule({"key", 2}, start + pause);
    removals.schedule({"key", 2}, start + pause * 2);
    EXPECT_TRUE(removals.take(start).empty());
    EXPECT_EQ(removals.take(start + pause), (group{{"key", 2}}));
}

// Guards against one removal that the store never carries out and that holds up
// all others.
TEST(record_removals, a_refused_removal_does_not_hold_up_the_others)
{
    record_removals removals(never_needed);
    removals.schedule({"bad", 1}, start);
    constexpr int others = 30;
    for (int number = 0; number < others; ++number)
    {
        removals.schedule({std::to_string(number), 1}, start + span(number));
    }
    instant now = start + pause;
    constexpr int enough_groups = 20;
    for (int sent = 0; sent < enough_groups; ++sent)
    {
        const group taken = removals.take(now);
        now = now + span::seconds(1);
        if (std::find(taken.begin(), taken.end(), record_removal{"bad", 1}) ==
            taken.end())
        {
            removals.removed();
        }
        else
        {
            removals.refused(now);
        }
    }
    for (int number = 0; number < others; ++number)
    {
        EXPECT_FALSE(removals.is_scheduled(std::to_string(number))) << number;
    }
    EXPECT_TRUE(removals.is_scheduled("bad"));
    constexpr span longer = span::minutes(10);
    EXPECT_EQ(removals.take(now + longer), (group{{"bad", 1}}));
}

// Guards against a group that is returned again and again after conflicts that
// show no changed record.
TEST(record_removals, an_unexplained_conflict_changes_nothing)
{
    record_removals removals(never_needed);
    removals.schedule({"key", 1}, start);
    EXPECT_EQ(removals.take(start).size(), 1U);
    EXPECT_FALSE(removals.conflicted({{{"key", "", 1}}}));
    EXPECT_TRUE(removals.take(start + pause).empty());
    removals.refused(start);
    EXPECT_TRUE(removals.take(start + pause).empty());
    EXPECT_TRUE(removals.is_scheduled("key"));
}

} // namespace kingcuprudder::node
