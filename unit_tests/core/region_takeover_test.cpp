#include "fault_scenario.hpp"

#include <gtest/gtest.h>

namespace kingcuprudder
{
namespace
{

job_spec numbered_job(int number, std::size_t payload)
{
    job_spec spec;
    spec.m_key = {account_id("a"), job_id("j" + std::to_string(number))};
    spec.m_shape = {1, 4, 1, 1, proximity::region};
    spec.m_payload = std::string(payload, 'x');
    return spec;
}

// Guards against log slots that are overwritten before a snapshot contains
// their entries. The log wraps around more than twice, with takeovers.
TEST(region_takeover, log_wraps_around_its_slots)
{
    fault_harness harness({.m_workers = 4});
    harness.run_for(span::seconds(2));
    for (int each = 0; each < 240; ++each)
    {
        harness.queue().after(span(500) * each,
                              [&harness, each] {
                                  harness.submit(numbered_job(each, 10),
                                                 {1, true, span(300), 0}, true);
                              });
    }
    for (int each = 0; each < 3; ++each)
    {
        harness.run_for(span::seconds(35));
        harness.kill(*harness.owner(), span::seconds(5));
    }
    harness.run_for(span::seconds(30));
    EXPECT_TRUE(harness.run_to_end(span::minutes(5))) << harness.unfinished();
    EXPECT_TRUE(check_history(harness.history().events(), {}).empty());
    const std::string dump = harness.instance(*harness.owner()).dump();
    const std::size_t found = dump.find("log committed ");
    EXPECT_GT(std::stoi(dump.substr(found + 14)), 512) << dump;
}

// Guards against a snapshot of several values that a new owner cannot read, and
// against chunks of a replaced snapshot that are left in the store.
TEST(region_takeover, large_state_is_kept_in_chunks)
{
    constexpr std::size_t payload = 200'000;
    fault_harness harness({.m_workers = 1});
    harness.run_for(span::seconds(2));
    for (int each = 0; each < 120; ++each)
    {
        harness.queue().after(span(100) * each,
                              [&harness, each]
                              {
                                  const std::size_t size =
                                      each < 20 ? payload : 10;
                                  harness.submit(numbered_job(each, size),
                                                 {1, true, span(100), 0}, true);
                              });
    }
    for (int each = 0; each < 2; ++each)
    {
        harness.run_for(span::seconds(15));
        harness.kill(*harness.owner(), span::seconds(5));
    }
    EXPECT_TRUE(harness.run_to_end(span::minutes(5))) << harness.unfinished();
    EXPECT_TRUE(check_history(harness.history().events(), {}).empty());
    EXPECT_NE(harness.store().read("regions/region/snapshot").m_revision, 0U);
    EXPECT_EQ(harness.accepted(), 120U);
    EXPECT_GT(harness.store().count("regions/region/snapshot/"), 1U);
    EXPECT_LT(harness.store().count("regions/region/snapshot/"), 12U);
}

} // namespace
} // namespace kingcuprudder
