#include "placement_test_support.hpp"

#include <gtest/gtest.h>

#include <set>

namespace kingcuprudder
{
namespace
{

using namespace placement_test;

running_job run(const queued_job& job, const placement& where)
{
    return {job.m_spec, where, instant(1), {}, false};
}

// Guards against a guaranteed gang whose accelerators are scattered, and
// against slots that share accelerators.
TEST(guarantee_layout, is_contiguous_and_disjoint)
{
    cluster region = make_region(3, 4);
    effective_settings settings =
        guarantees({{"a", {gang(32, proximity::rack), 1}},
                    {"b", {gang(16, proximity::rack), 2}},
                    {"c", {gang(8, proximity::worker), 3}}});
    guarantee_layout layout = guarantee_layout::build(settings, region, {});

    EXPECT_TRUE(layout.shortfalls().empty());
    ASSERT_EQ(layout.slots().size(), 6u);
    free_table left = total_resources(region);
    for (const guarantee_slot& slot : layout.slots())
    {
        EXPECT_TRUE(is_free(left, slot.m_shape, slot.m_placement));
        subtract_resources(left, slot.m_shape, slot.m_placement);
        std::uint32_t first = slot.m_placement.front().m_worker;
        std::uint32_t last = slot.m_placement.back().m_worker;
        EXPECT_EQ(last - first + 1, slot.m_shape.accelerators() / 8);
        EXPECT_EQ(region.worker_at(first).m_rack,
                  region.worker_at(last).m_rack);
    }
}

// Guards against settings that guarantee more than the workers have, and
// against a refusal that does not name the account and the missing shapes.
TEST(guarantee_layout, names_the_account_and_the_shortfall)
{
    cluster region = make_region(1, 2);
    std::vector<worker> workers;
    for (std::size_t i = 0; i < region.size(); ++i)
    {
        workers.push_back(region.worker_at(i));
    }
    effective_settings settings =
        guarantees({{"small", {gang(8, proximity::worker), 1}},
                    {"large", {gang(16, proximity::rack), 3}}});
    settings.m_accounts[account_id("small")].m_priority = 5;

    auto missing = check_guarantees(settings, workers);

    ASSERT_EQ(missing.size(), 1u);
    EXPECT_EQ(missing[0].m_account, account_id("large"));
    EXPECT_EQ(missing[0].m_missing, 2u);
    EXPECT_EQ(describe(missing[0]),
              "account large lacks 2 x (16 tasks x 1 accelerators in one "
              "rack)");
}

// Guards against a rebuilt layout that uses accelerators allocated to
// non-preemptible jobs, and against restoring accounts in the wrong order.
TEST(guarantee_layout, is_rebuilt_after_a_zone_loss_around_non_preemptible_jobs)
{
    cluster region = make_region(3, 2);
    effective_settings settings =
        guarantees({{"low", {gang(16, proximity::rack), 2}},
                    {"high", {gang(16, proximity::rack), 3}}});
    settings.m_accounts[account_id("high")].m_priority = 1;
    for (std::size_t i = 0; i < region.size(); ++i)
    {
        const worker& each = region.worker_at(i);
        region.set_usable(each.m_id, each.m_zone != zone_id("z0"));
    }
    std::vector<running_job> running{run(
        non_preemptible(make_job("x", "fixed", gang(1, proximity::worker), {})),
        {{region.worker_at(11).m_id, 1, 0b1000}})};

    guarantee_layout layout =
        guarantee_layout::build(settings, region, running);

    for (const guarantee_slot& slot : layout.slots())
    {
        for (const indexed_allocation& part : slot.m_placement)
        {
            EXPECT_TRUE(region.usable(part.m_worker));
            EXPECT_NE(part.m_worker, 11u);
        }
    }
    EXPECT_EQ(layout.slots_of(account_id("high")).size(), 3u);
    ASSERT_EQ(layout.shortfalls().size(), 1u);
    EXPECT_EQ(layout.shortfalls()[0].m_account, account_id("low"));
    EXPECT_EQ(layout.shortfalls()[0].m_missing, 2u);
}

// Guards against a shortfall that stays after the job that caused it has ended.
TEST(guarantee_layout, is_restored_when_a_non_preemptible_job_ends)
{
    simulated_region region(make_region(1, 1));
    effective_settings settings =
        guarantees({{"a", {gang(8, proximity::worker), 2}}});
    queued_job fixed =
        non_preemptible(make_job("x", "fixed", gang(1, proximity::worker), {}));
    region.m_queue.push_back(fixed);
    region.start({fixed.m_spec.m_key, {{worker_id("w100"), 1, 1}}}, instant(1));
    gang_policy policy;
    policy.configure(settings, region.m_region, region.m_running);
    region.step(policy, instant(2));
    ASSERT_EQ(policy.layout().shortfalls().size(), 1u);

    region.end("fixed");
    region.step(policy, instant(3));

    EXPECT_TRUE(policy.layout().shortfalls().empty());
}

// Guards against a new owner whose layout differs from the former owner's.
TEST(guarantee_layout, depends_only_on_its_inputs)
{
    cluster region = make_region(3, 4);
    effective_settings settings =
        guarantees({{"a", {gang(32, proximity::zone), 2}},
                    {"b", {gang(3, proximity::rack), 5}}});
    EXPECT_EQ(guarantee_layout::build(settings, region, {}).slots(),
              guarantee_layout::build(settings, region, {}).slots());
}

} // namespace
} // namespace kingcuprudder
