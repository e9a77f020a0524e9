#include <kingcuprudder/settings/check_settings.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

namespace kingcuprudder
{
namespace
{

/// A tree with one account whose members are given.
std::string with_account(const std::string& members)
{
    return R"({"regions":{"r":{"accounts":{"a":{)" + members + "}}}}}";
}

std::string with_shape(const std::string& members)
{
    return with_account(R"("guarantees":[{"shape":{)" + members + "}}]");
}

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// Guards against a bad tree that is accepted, or refused with an error that
// does not say what is wrong and where.
TEST(settings_check, each_bad_tree_has_its_own_error)
{
    const std::string scheduler = R"({"regions":{"r":{"scheduler":{)";
    const std::pair<std::string, std::string> table[] = {
        {"{", "settings: not valid JSON: "},
        {R"({"regions":{"r":{},"r":{}}})", "the key 'r' is given twice"},
        {"[]", "settings: expected an object, found an array"},
        {"{}", "regions: is missing"},
        {R"({"regions":{}})", "regions: at least one region is needed"},
        {R"({"regions":[]})",
         "regions: expected an object with one member for each region"},
        {R"({"region":{},"regions":{"r":{}}})",
         "region: unknown name 'region'; did you mean 'regions'?"},
        {R"({"regions":{"r.s":{}}})",
         "regions.r.s: the name of a region has 1 to 64 letters"},
        {R"({"defaults":{"accounts":{}},"regions":{"r":{}}})",
         "defaults.accounts: unknown name 'accounts'; did you mean 'account'?"},
        {R"({"regions":{"r":{"zones":"z"}}})",
         "regions.r.zones: expected a list of zone names, found the string"},
        {R"({"regions":{"r":{"zones":["z","z"]}}})",
         "regions.r.zones: the zone \"z\" is listed twice"},
        {R"({"regions":{"r":{"zones":[""]}}})",
         "regions.r.zones: a zone name has 1 to 64"},
        {R"({"regions":{"r":{"job_class":{}}}})",
         "regions.r.job_class: unknown name 'job_class'; did you mean "
         "'job_classes'?"},
        {with_account(R"("priorty":1)"),
         "regions.r.accounts.a.priorty: unknown name 'priorty'; did you mean "
         "'priority'?"},
        {with_account(R"("priority":"high")"),
         "regions.r.accounts.a.priority: expected an integer, found the "
         "string \"high\""},
        {with_account(R"("priority":1001)"),
         "priority: 1001 is outside the range -1000 to 1000"},
        {with_account(R"("max_queued_jobs":-1)"),
         "max_queued_jobs: -1 is outside the range 0 to 1000000 jobs"},
        {with_account(R"("max_queued_jobs":18446744073709551615)"),
         "max_queued_jobs: 18446744073709551615 is outside"},
        {with_account(R"("max_requests_in_flight":1.5)"),
         "max_requests_in_flight: expected an integer number of requests, "
         "found the fraction 1.5"},
        {with_account(R"("guarantees":{})"),
         "guarantees: expected a list of guarantees, found an object"},
        {with_account(R"("guarantees":[{}])"),
         "guarantees[0].shape: is missing"},
        {with_account(R"("guarantees":[{"count":0,"shape":
            {"tasks":1,"accelerators_per_task":1}}])"),
         "guarantees[0].count: 0 is outside the range 1 to 10000"},
        {with_shape(R"("accelerators_per_task":1)"), "shape.tasks: is missing"},
        {with_shape(R"("tasks":1)"), "shape.accelerators_per_task: is missing"},
        {with_shape(R"("tasks":1,"accelerators_per_task":65)"),
         "accelerators_per_task: 65 is outside the range 1 to 64"},
        {with_shape(R"("tasks":1,"accelerators_per_task":1,"proximity":"rak")"),
         "proximity: unknown proximity 'rak'; did you mean 'rack'?"},
        {with_shape(R"("tasks":1,"accelerators_per_task":1,"proximity":4)"),
         "proximity: expected worker, rack, zone or region, found the number"},
        {with_shape(
             R"("tasks":9,"accelerators_per_task":8,"proximity":"worker")"),
         "shape: needs 72 accelerators on one worker, which has at most 64"},
        {R"({"regions":{"r":{"job_classes":{"c":{"urgent":1}}}}})",
         "job_classes.c.urgent: expected true or false, found the number 1"},
        {R"({"regions":{"r":{"job_classes":{"c":{"default_run_time_ms":5}}}}})",
         "unknown name 'default_run_time_ms'; did you mean "
         "'default_run_time_s'?"},
        {scheduler + R"("reclaim_bound_ms":"800ms"}}}})",
         "scheduler.reclaim_bound_ms: expected an integer number of ms, found "
         "the string \"800ms\""},
        {scheduler + R"("fragmentation_weight_percent":101}}}})",
         "101 is outside the range 0 to 100 percent"},
        {scheduler + R"("max_attempts":null}}}})",
         "max_attempts: expected an integer number of attempts, found null"},
        {R"({"defaults":{"service":{"max_in_flight":3}},
             "regions":{"r":{"services":{"s":
             {"max_in_flight_per_target":4}}}}})",
         "regions.r.services.s.max_in_flight_per_target: 4 is more than the "
         "service's max_in_flight of 3"},
    };
    std::set<std::string> seen;
    for (const auto& [tree, expected] : table)
    {
        const auto problems = check_settings(tree);
        ASSERT_EQ(problems.size(), 1u) << tree << "\n" << to_text(problems);
        const std::string text = to_text(problems);
        EXPECT_NE(text.find(expected), std::string::npos)
            << tree << "\nfound:    " << text << "\nexpected: " << expected;
        EXPECT_TRUE(seen.insert(text).second) << "same error twice: " << text;
    }
}

// Guards against reporting only the first of several problems.
TEST(settings_check, lists_every_problem)
{
    const auto problems = check_settings(
        R"({"defaults":{"account":{"priority":"x"}},"regions":{"r":{
            "accounts":{"a":{"max_queued_jobs":-1}},
            "scheduler":{"max_attempt":1,"reclaim_bound_ms":1}}}})");
    EXPECT_EQ(problems.size(), 4u) << to_text(problems);
}

// Guards against accepting a tree that the store then refuses.
TEST(settings_check, refuses_a_tree_above_the_store_limit)
{
    const auto problems = check_settings(std::string(1000001, ' '));
    ASSERT_EQ(problems.size(), 1u);
    EXPECT_NE(to_text(problems).find("1000001 bytes"), std::string::npos);
}

// Guards against delivering settings files that are invalid.
TEST(settings_check, the_settings_of_the_demo_are_valid)
{
    for (const char* name : {"kovacsmuhely", "kovacsmuhely_demo", "etikettwerk",
                             "etikettwerk_demo"})
    {
        const std::string path =
            std::string(KCR_SOURCE_DIR) + "/demo/settings/" + name + ".json";
        EXPECT_EQ(to_text(check_settings(read_file(path))), "") << path;
    }
}

} // namespace
} // namespace kingcuprudder
