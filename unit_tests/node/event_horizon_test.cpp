#include <kingcuprudder/node/event_horizon.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder::node
{

TEST(event_horizon, an_empty_queue_has_been_applied)
{
    event_horizon tested;
    tested.mark(instant(1000), 0);
    EXPECT_TRUE(tested.is_reached());
    EXPECT_EQ(tested.applied_until(), instant(1000));
}

// Guards against leases that are declared over while the events of their
// renewals wait, and against leases that never end as the queue is never empty.
TEST(event_horizon, it_advances_when_the_events_that_waited_are_applied)
{
    event_horizon tested;
    tested.mark(instant(1000), 2);
    tested.event_applied();
    EXPECT_FALSE(tested.is_reached());
    EXPECT_EQ(tested.applied_until(), instant());
    tested.event_applied();
    EXPECT_TRUE(tested.is_reached());
    EXPECT_EQ(tested.applied_until(), instant(1000));
    tested.event_applied(); // One that was queued after the mark.
    tested.mark(instant(2000), 1);
    EXPECT_EQ(tested.applied_until(), instant(1000));
}

} // namespace kingcuprudder::node
