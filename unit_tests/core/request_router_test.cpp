#include <kingcuprudder/request/backoff.hpp>
#include <kingcuprudder/request/request_router.hpp>

#include <gtest/gtest.h>

#include <map>

namespace kingcuprudder
{
namespace
{

const instant now(1'000'000);
const service_id service("s");
const account_id account("a");

std::shared_ptr<const effective_settings> settings(std::uint32_t per_target,
                                                   std::uint32_t per_service,
                                                   std::uint32_t per_account)
{
    auto made = std::make_shared<effective_settings>();
    made->m_accounts[account].m_max_requests_in_flight = per_account;
    made->m_services[service].m_max_in_flight_per_target = per_target;
    made->m_services[service].m_max_in_flight = per_service;
    return made;
}

std::vector<listed_target> minions(int count)
{
    std::vector<listed_target> list;
    for (int i = 0; i < count; ++i)
    {
        const std::string name = "m" + std::to_string(i);
        list.push_back({{service, instance_id(name), "1", name}, false});
    }
    return list;
}

target_answer answered(bool draining = false)
{
    target_answer answer;
    answer.m_outcome = target_outcome::answered;
    answer.m_draining = draining;
    return answer;
}

// Guards against overloading single minions: with the power of two choices
// the calls in flight stay level.
TEST(request_router, calls_spread_evenly_and_stay_within_the_bound)
{
    request_router router(1000, 7);
    router.on_settings(settings(8, 1000, 1000));
    router.targets().on_list(minions(10), now);
    std::map<instance_id, int> counts;
    for (int i = 0; i < 60; ++i)
    {
        const auto picked = router.pick(service, {});
        ASSERT_TRUE(picked);
        ++counts[picked->m_instance];
    }
    for (const auto& [id, count] : counts)
    {
        EXPECT_GE(count, 4) << id.str();
        EXPECT_LE(count, 8) << id.str();
    }
    for (int i = 0; i < 20; ++i)
    {
        EXPECT_TRUE(router.pick(service, {}));
    }
    EXPECT_FALSE(router.pick(service, {})) << "more than 8 calls on a target";
}

// Guards against picking a target that is draining, suspect or already tried.
TEST(request_router, picks_only_live_targets_and_avoids_tried_ones)
{
    request_router router(1000, 7);
    router.on_settings(settings(100, 1000, 1000));
    router.targets().on_list(minions(3), now);
    const target_ref draining = minions(3)[0].m_target;
    const target_ref tried = minions(3)[1].m_target;
    router.targets().on_answer(draining, true, false);
    for (int i = 0; i < 50; ++i)
    {
        EXPECT_EQ(router.pick(service, {tried})->m_instance, instance_id("m2"));
    }
    for (int i = 0; i < 3; ++i)
    {
        router.targets().on_failure(minions(3)[2].m_target, false, now);
    }
    EXPECT_EQ(router.pick(service, {tried})->m_instance, instance_id("m1"))
        << "a tried target is better than none";
}

// Guards against accepting more requests than a limit allows.
TEST(request_router, refuses_early_over_each_limit)
{
    struct row
    {
        std::uint32_t m_instance, m_service, m_account;
    };
    for (const row& each : {row{2, 9, 9}, row{9, 2, 9}, row{9, 9, 2}})
    {
        request_router router(each.m_instance, 1);
        router.on_settings(settings(9, each.m_service, each.m_account));
        EXPECT_TRUE(succeeded(router.admit(account, service)));
        EXPECT_TRUE(succeeded(router.admit(account, service)));
        const result<ok> refused = router.admit(account, service);
        ASSERT_FALSE(succeeded(refused));
        EXPECT_EQ(error_of(refused).m_code, error_code::limit_reached);
        EXPECT_EQ(error_of(refused).m_verdict, verdict::not_run);
        router.release(account, service);
        EXPECT_TRUE(succeeded(router.admit(account, service)));
    }
}

TEST(request_router, names_the_nearest_known_account_and_service)
{
    request_router router(9, 1);
    auto known = std::make_shared<effective_settings>();
    known->m_accounts[account_id("etikett")];
    known->m_services[service_id("label-calc")];
    router.on_settings(known);
    const auto account_error =
        router.admit(account_id("etiket"), service_id("label-calc"));
    EXPECT_EQ(error_of(account_error).m_code, error_code::unknown_account);
    EXPECT_NE(error_of(account_error).m_message.find("'etikett'"),
              std::string::npos);
    const auto service_error =
        router.admit(account_id("etikett"), service_id("label-cal"));
    EXPECT_EQ(error_of(service_error).m_code, error_code::unknown_service);
    EXPECT_NE(error_of(service_error).m_message.find("'label-calc'"),
              std::string::npos);
}

// Guards against retries that multiply the load of failing targets.
TEST(retry_budget, allows_a_tenth_of_the_first_calls)
{
    retry_budget budget;
    while (budget.try_take())
    {
    }
    int taken = 0;
    for (int i = 0; i < 10'000; ++i)
    {
        budget.on_first_attempt();
        taken += budget.try_take() ? 1 : 0;
    }
    EXPECT_EQ(taken, 1000);
}

// Guards against callers that all retry at the same time.
TEST(backoff, delays_grow_with_full_jitter)
{
    backoff delays(span(100), span(1600), 5);
    span ceiling(100);
    for (int i = 0; i < 8; ++i)
    {
        const span delay = delays.next();
        EXPECT_GE(delay, span(1));
        EXPECT_LE(delay, ceiling);
        ceiling = std::min(ceiling * 2, span(1600));
    }
    delays.reset();
    EXPECT_LE(delays.next(), span(100));
    EXPECT_NE(backoff(span(1000), span(1000), 1).next(),
              backoff(span(1000), span(1000), 2).next());
}

// Guards against callers whose very short deadlines make minions suspect.
TEST(request_router, a_short_timeout_says_nothing_about_the_target)
{
    request_router router(9, 1);
    router.on_settings(settings(9, 9, 9));
    router.targets().on_list(minions(1), now);
    target_answer timed_out;
    timed_out.m_timed_out_after = span(20);
    for (int i = 0; i < 5; ++i)
    {
        router.on_call_ended(*router.pick(service, {}), timed_out, now);
    }
    EXPECT_TRUE(router.has_live_target(service));
    timed_out.m_timed_out_after = span::seconds(1);
    for (int i = 0; i < 3; ++i)
    {
        router.on_call_ended(*router.pick(service, {}), timed_out, now);
    }
    EXPECT_FALSE(router.has_live_target(service));
    EXPECT_FALSE(router.pick(service, {}));
}

// Guards against picking a target after it has reported that it is draining.
TEST(request_router, a_target_that_reports_draining_gets_no_more_requests)
{
    request_router router(9, 1);
    router.on_settings(settings(9, 9, 9));
    router.targets().on_list(minions(1), now);
    router.on_call_ended(*router.pick(service, {}), answered(true), now);
    EXPECT_FALSE(router.pick(service, {}));
}

} // namespace
} // namespace kingcuprudder
