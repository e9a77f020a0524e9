#include <kingcuprudder/node/shutdown_sequence.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder::node
{

// Guards against a process that is killed at the end of its grace time with
// requests in progress, or that leaves no time to answer them.
TEST(shutdown_schedule, each_step_has_its_time_within_the_grace_time)
{
    for (const span grace :
         {span(0), span(500), span(1200), span(3000), span(6000), span(30'000)})
    {
        const shutdown_schedule schedule = schedule_within(grace);
        EXPECT_GE(schedule.m_stop_accepting, span(0)) << grace.count();
        EXPECT_LE(schedule.m_stop_accepting, schedule.m_stop_reading);
        EXPECT_LE(schedule.m_stop_reading, schedule.m_abandon_handlers);
        EXPECT_LE(schedule.m_abandon_handlers, schedule.m_exit);
        EXPECT_LE(schedule.m_exit, grace);
        if (grace >= span(3000))
        {
            EXPECT_GE(schedule.m_stop_reading - schedule.m_stop_accepting,
                      span(300));
            EXPECT_GE(schedule.m_abandon_handlers - schedule.m_stop_reading,
                      span(400));
            EXPECT_GE(schedule.m_exit - schedule.m_abandon_handlers, span(300));
            EXPECT_GE(grace - schedule.m_exit, span(250));
        }
    }
}

// Guards against a balancer that still sends connections to a process that
// accepts none: it takes one out within three seconds.
TEST(shutdown_schedule, connections_are_accepted_until_the_balancer_stops_them)
{
    EXPECT_GE(schedule_within(span(6000)).m_stop_accepting, span(3000));
}

} // namespace kingcuprudder::node
