#include "fault_scenario.hpp"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <rapidcheck.h>
#include <sstream>

namespace kingcuprudder
{
namespace
{

constexpr std::uint64_t default_seed = 20261204;
constexpr std::uint64_t default_schedules = 1000;

/// A number from the environment, for longer runs with other seeds.
std::uint64_t from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

rc::Gen<std::vector<timed_fault>> fault_schedules()
{
    const auto one = rc::gen::map(
        rc::gen::pair(rc::gen::inRange<std::size_t>(0, all_faults.size()),
                      rc::gen::inRange<std::int64_t>(0, 15000)),
        [](const std::pair<std::size_t, std::int64_t>& drawn) {
            return timed_fault{all_faults[drawn.first], span(drawn.second)};
        });
    return rc::gen::resize(5,
                           rc::gen::container<std::vector<timed_fault>>(one));
}

// Guards against combinations of up to five faults at any distance that the
// pairs of the matrix do not cover. A failing schedule is shrunk and printed.
TEST(fault_random, combined_schedules_keep_promises)
{
    rc::detail::TestParams params;
    params.seed = from_environment("KCR_FAULT_SEED", default_seed);
    params.maxSuccess = static_cast<int>(
        from_environment("KCR_FAULT_SCHEDULES", default_schedules));
    std::printf("seed %llu, %d schedules\n",
                static_cast<unsigned long long>(params.seed),
                params.maxSuccess);
    const auto outcome = rc::detail::checkTestable(
        []
        {
            const auto step =
                all_steps[*rc::gen::inRange<std::size_t>(0, all_steps.size())];
            const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1 << 20);
            const auto faults = *fault_schedules();
            RC_LOG() << "step " << to_string(step) << " seed " << seed;
            for (const timed_fault& each : faults)
            {
                RC_LOG() << " " << to_string(each.m_fault) << "+"
                         << each.m_delay.count() << " ms";
            }
            const scenario_outcome run = run_scenario(step, faults, seed);
            // The load can end before the step of the schedule is reached; such
            // a run checks nothing.
            RC_PRE(run.m_step_reached);
            if (!run.passed())
            {
                RC_FAIL(describe(run));
            }
        },
        rc::detail::TestMetadata(), params);
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    EXPECT_TRUE(outcome.is<rc::detail::SuccessResult>()) << text.str();
}

} // namespace
} // namespace kingcuprudder
