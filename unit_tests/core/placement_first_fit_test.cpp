#include <kingcuprudder/placement/first_fit_policy.hpp>

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

cluster two_racks()
{
    std::vector<worker> workers;
    for (int i = 0; i < 4; ++i)
    {
        workers.push_back({worker_id("w" + std::to_string(i)), zone_id("z"),
                           rack_id(i < 2 ? "r0" : "r1"), 8, 64, 1024, ""});
    }
    return cluster(workers);
}

queued_job job(const std::string& id, shape needed, std::int64_t at)
{
    queued_job result;
    result.m_spec.m_key = {account_id("a"), job_id(id)};
    result.m_spec.m_shape = needed;
    result.m_accepted_at = instant(at);
    return result;
}

// Guards against a gang that crosses the racks it must stay in, and against a
// waiting job without a reason.
TEST(placement_first_fit, keeps_proximity_and_gives_a_wait_reason)
{
    cluster region = two_racks();
    first_fit_policy policy;
    policy.configure({}, region, {});
    shape half{12, 1, 1, 1, proximity::rack};
    shape whole{16, 1, 1, 1, proximity::rack};

    plan result = policy.make_plan(
        region,
        {job("late", whole, 3), job("one", half, 1), job("two", half, 2)}, {},
        instant(5));

    ASSERT_EQ(result.m_placements.size(), 2u);
    EXPECT_EQ(result.m_placements[0].m_job.m_job, job_id("one"));
    EXPECT_EQ(result.m_placements[1].m_placement[0].m_worker, worker_id("w2"));
    ASSERT_EQ(result.m_wait_reasons.size(), 1u);
    EXPECT_EQ(result.m_wait_reasons[0].m_job.m_job, job_id("late"));
}

// Guards against accepting a job that would wait forever.
TEST(placement_first_fit, refuses_what_the_topology_cannot_hold)
{
    cluster region = two_racks();
    first_fit_policy policy;
    policy.configure({}, region, {});
    EXPECT_TRUE(policy.never_fits(
        region, job("x", {17, 1, 1, 1, proximity::rack}, 0).m_spec));
    EXPECT_FALSE(policy.never_fits(
        region, job("x", {17, 1, 1, 1, proximity::zone}, 0).m_spec));
}

} // namespace
} // namespace kingcuprudder
