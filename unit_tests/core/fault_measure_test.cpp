#include "fault_scenario.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>

namespace kingcuprudder
{
namespace
{

constexpr int takeover_runs = 40;
constexpr std::size_t region_instances = 8;

/// Virtual time until another instance owns the region, for all runs in
/// ascending order.
std::vector<std::int64_t> takeover_times(
    const std::function<void(fault_harness&, std::size_t)>& inject_fault)
{
    std::vector<std::int64_t> times;
    for (int run = 1; run <= takeover_runs; ++run)
    {
        fault_harness harness({.m_seed = static_cast<std::uint64_t>(run),
                               .m_instances = region_instances});
        harness.run_for(span::seconds(3) + span(run * 37));
        load_scenario(harness);
        harness.run_for(span::seconds(5));
        const std::size_t former = *harness.owner();
        const instant injected_at = harness.now();
        inject_fault(harness, former);
        while (!harness.owner() || *harness.owner() == former)
        {
            harness.run_for(span(5));
        }
        times.push_back((harness.now() - injected_at).count());
    }
    std::sort(times.begin(), times.end());
    return times;
}

void print_times(const char* name, const std::vector<std::int64_t>& times)
{
    std::printf("takeover after %s: p50 %lld ms, p99 %lld ms, %zu runs\n", name,
                static_cast<long long>(times[times.size() / 2]),
                static_cast<long long>(times[times.size() * 99 / 100]),
                times.size());
}

// Guards against a takeover that takes much longer than the owner's lease.
TEST(fault_measure, takeover_times)
{
    const auto killed =
        takeover_times([](fault_harness& harness, std::size_t owner)
                       { harness.kill(owner, span::minutes(5)); });
    const auto frozen =
        takeover_times([](fault_harness& harness, std::size_t owner)
                       { harness.freeze(owner, span::minutes(5)); });
    const auto drained =
        takeover_times([](fault_harness& harness, std::size_t owner)
                       { harness.drain(owner); });
    print_times("kill", killed);
    print_times("freeze", frozen);
    print_times("graceful shutdown", drained);
    EXPECT_LT(killed.back(), 6000);
    EXPECT_LT(frozen.back(), 6000);
    EXPECT_LT(drained.back(), 2000);
}

// Guards against a change that makes each job cost many more store calls.
TEST(fault_measure, store_calls_per_job)
{
    constexpr int jobs = 200;
    const auto run = [](int count)
    {
        fault_harness harness({.m_instances = region_instances});
        harness.run_for(span::seconds(3));
        const std::uint64_t before = harness.store().calls();
        for (int each = 0; each < count; ++each)
        {
            job_spec spec;
            spec.m_key = {account_id("a"), job_id(std::to_string(each))};
            spec.m_shape = {1, 1, 1, 1, proximity::region};
            harness.queue().after(span::seconds(3) * each, [&harness, spec]
                                  { harness.submit(spec, {}, true); });
        }
        harness.run_for(span::seconds(3) * jobs + span::seconds(20));
        EXPECT_TRUE(harness.all_ended());
        return harness.store().calls() - before;
    };
    const std::uint64_t idle = run(0);
    const std::uint64_t busy = run(jobs);
    const double per_job = static_cast<double>(busy - idle) / jobs;
    std::printf("store calls: %llu in %d s without jobs, %.2f more per job\n",
                static_cast<unsigned long long>(idle), jobs * 3 + 20, per_job);
    EXPECT_LT(per_job, 12.0);
}

// Guards against instances that all retry at the same time against a recovering
// store.
TEST(fault_measure, store_calls_after_outage)
{
    fault_harness harness({.m_instances = region_instances});
    harness.run_for(span::seconds(3));
    load_scenario(harness);
    harness.run_for(span::seconds(5));
    const instant back = harness.now() + span::seconds(60);
    harness.store().set_down_until(back);
    harness.run_until(back + span::seconds(10));
    std::array<int, 10> per_second{};
    for (const instant each : harness.store().call_times())
    {
        const std::int64_t offset = (each - back).count();
        if (offset >= 0 && offset < 10000)
        {
            ++per_second[static_cast<std::size_t>(offset / 1000)];
        }
    }
    int total = 0;
    for (const int each : per_second)
    {
        total += each;
    }
    const int peak = *std::max_element(per_second.begin(), per_second.end());
    std::printf("store calls after an outage, 8 instances: %.1f/s over 10 s, "
                "%d in the busiest second\n",
                total / 10.0, peak);
    EXPECT_LT(peak, 300);
}

} // namespace
} // namespace kingcuprudder
