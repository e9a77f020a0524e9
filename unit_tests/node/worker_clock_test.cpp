#include <kingcuprudder/node/worker_clock.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder::node
{

namespace
{

constexpr std::int64_t first_clock = 5000;
constexpr span lease = span(6000);

/// Returns what a clock that is 2% slow shows this long after the first clock.
std::int64_t slow_clock_after(span elapsed)
{
    return first_clock + elapsed.count() * 98 / 100;
}

} // namespace

TEST(worker_clock, there_is_no_lease_end_without_a_reading)
{
    worker_clock tested;
    EXPECT_EQ(tested.lease_end(lease, instant(0)), std::nullopt);
    tested.observe(0, instant(0));
    EXPECT_EQ(tested.lease_end(lease, instant(0)), std::nullopt);
    tested.observe(first_clock, instant(0));
    EXPECT_EQ(tested.lease_end(lease, instant(0)), first_clock + lease.count());
    tested.reset();
    EXPECT_EQ(tested.lease_end(lease, instant(0)), std::nullopt);
}

// Guards against short leases that have passed when they are granted.
TEST(worker_clock, only_a_reading_of_the_last_seconds_is_recent)
{
    worker_clock tested;
    EXPECT_FALSE(tested.is_recent(instant(0)));
    tested.observe(first_clock, instant(0));
    EXPECT_TRUE(tested.is_recent(instant(8000)));
    EXPECT_FALSE(tested.is_recent(instant(8001)));
}

// Guards against runs that a worker with a slow clock holds after the leader
// has started them elsewhere.
TEST(worker_clock, an_old_reading_of_a_slow_clock_makes_no_longer_lease)
{
    worker_clock tested;
    tested.observe(first_clock, instant(0));
    for (const span age : {span(1000), span(14'000), span(60'000),
                           span::minutes(10), span::hours(5)})
    {
        const instant now = instant(0) + age;
        EXPECT_LE(tested.lease_end(lease, now),
                  slow_clock_after(age) + lease.count())
            << age.count() << " ms";
    }
}

} // namespace kingcuprudder::node
