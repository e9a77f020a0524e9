#include <kingcuprudder/settings/resolve_settings.hpp>

#include <gtest/gtest.h>

#include <map>

namespace kingcuprudder
{
namespace
{

constexpr const char* tree = R"({
  "defaults": {
    "account": {"priority": 1, "max_queued_jobs": 10},
    "scheduler": {"max_attempts": 4, "worker_probation_s": 60}
  },
  "regions": {
    "north": {
      "defaults": {
        "account": {"max_queued_jobs": 20},
        "scheduler": {"worker_probation_s": 90}
      },
      "accounts": {
        "a": {"max_requests_in_flight": 7, "guarantees": [{"count": 2,
          "shape": {"tasks": 4, "accelerators_per_task": 2,
                    "proximity": "rack"}}]},
        "b": {"max_queued_jobs": 30}
      },
      "job_classes": {"c": {"urgent": true}},
      "services": {"s": {"default_deadline_ms": 1500}},
      "scheduler": {"reclaim_bound_ms": 900}
    },
    "south": {"accounts": {"a": {}}}
  }
})";

effective_settings resolved(const char* region)
{
    const auto settings = resolve_settings(tree, region_id(region), 5);
    if (!succeeded(settings))
    {
        throw std::runtime_error(error_of(settings).m_message);
    }
    return value_of(settings);
}

// Guards against a level that overrides more than it states, or less.
TEST(settings_resolve, each_level_overrides_only_what_it_states)
{
    const effective_settings north = resolved("north");
    EXPECT_EQ(north.m_revision, 5u);
    const account_settings& a = north.m_accounts.at(account_id("a"));
    EXPECT_EQ(a.m_priority, 1);
    EXPECT_EQ(a.m_max_queued_jobs, 20u);
    EXPECT_EQ(a.m_max_requests_in_flight, 7u);
    const shape expected{4, 2, 1, 0, proximity::rack};
    ASSERT_EQ(a.m_guarantees.size(), 1u);
    EXPECT_EQ(a.m_guarantees[0], (guarantee{expected, 2}));
    EXPECT_EQ(north.m_accounts.at(account_id("b")).m_max_queued_jobs, 30u);
    EXPECT_TRUE(north.m_job_classes.at(job_class_id("c")).m_urgent);
    EXPECT_EQ(north.m_services.at(service_id("s")).m_default_deadline,
              span(1500));
    EXPECT_EQ(north.m_scheduler.m_max_attempts, 4u);
    EXPECT_EQ(north.m_scheduler.m_worker_probation, span::seconds(90));
    EXPECT_EQ(north.m_scheduler.m_reclaim_bound, span(900));
}

// Guards against values of one region that apply in another.
TEST(settings_resolve, regions_are_independent)
{
    const effective_settings south = resolved("south");
    const account_settings& a = south.m_accounts.at(account_id("a"));
    EXPECT_EQ(a.m_max_queued_jobs, 10u);
    EXPECT_TRUE(a.m_guarantees.empty());
    EXPECT_TRUE(south.m_services.empty());
    EXPECT_EQ(south.m_scheduler.m_worker_probation, span::seconds(60));
}

// Guards against built-in defaults that differ from the declared ones.
TEST(settings_resolve, values_that_no_level_states_are_the_built_in_ones)
{
    const auto settings = resolve_settings(
        R"({"regions":{"r":{"accounts":{"a":{}}}}})", region_id("r"), 1);
    ASSERT_TRUE(succeeded(settings));
    EXPECT_EQ(value_of(settings).m_accounts.at(account_id("a")),
              account_settings());
    EXPECT_EQ(value_of(settings).m_scheduler, scheduler_settings());
}

// Guards against showing an operator the wrong place to change a value.
TEST(settings_resolve, each_value_names_the_level_that_states_it)
{
    const auto origins = explain_settings(tree, region_id("north"));
    ASSERT_TRUE(succeeded(origins));
    std::map<std::string, std::string> levels;
    std::map<std::string, std::string> values;
    for (const settings_origin& each : value_of(origins))
    {
        levels[each.m_path] = each.m_level;
        values[each.m_path] = each.m_value;
    }
    EXPECT_EQ(levels["accounts.a.priority"], "defaults.account");
    EXPECT_EQ(levels["accounts.a.max_queued_jobs"],
              "regions.north.defaults.account");
    EXPECT_EQ(levels["accounts.b.max_queued_jobs"], "regions.north.accounts.b");
    EXPECT_EQ(values["accounts.b.max_queued_jobs"], "30");
    EXPECT_EQ(levels["job_classes.c.idempotent"], "built-in default");
    EXPECT_EQ(values["job_classes.c.idempotent"], "true");
    EXPECT_EQ(levels["scheduler.reclaim_bound_ms"], "regions.north.scheduler");
    EXPECT_EQ(values["scheduler.worker_probation_s"], "90");
}

// Guards against a process that starts with an empty region after a typing
// error in its process settings.
TEST(settings_resolve, an_unknown_region_is_refused_with_the_nearest_name)
{
    const auto settings = resolve_settings(tree, region_id("nord"), 1);
    ASSERT_FALSE(succeeded(settings));
    EXPECT_EQ(error_of(settings).m_code, error_code::invalid_settings);
    EXPECT_EQ(error_of(settings).m_message,
              "regions: unknown region 'nord'; did you mean 'north'?");
}

} // namespace
} // namespace kingcuprudder
