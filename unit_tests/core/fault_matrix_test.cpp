#include "fault_scenario.hpp"

#include <gtest/gtest.h>

#include <tuple>

namespace kingcuprudder
{
namespace
{

constexpr std::uint64_t matrix_seed = 20261204;

std::string cell_name(fault_step step, fault value)
{
    return std::string(to_string(step)) + "_" + std::string(to_string(value));
}

// Guards against a scenario that does not reach a step, so that its cells would
// check nothing.
TEST(fault_matrix, undisturbed_run_reaches_every_step)
{
    for (fault_step step : all_steps)
    {
        const scenario_outcome outcome = run_scenario(step, {}, matrix_seed);
        EXPECT_TRUE(outcome.passed())
            << to_string(step) << ": " << describe(outcome);
    }
}

class fault_single
    : public testing::TestWithParam<std::tuple<fault_step, fault>>
{
};

// Guards against a fault at one step that leads to a violation. Each cell
// checks the whole history and that every accepted job has ended.
TEST_P(fault_single, keeps_promises)
{
    const auto [step, value] = GetParam();
    const scenario_outcome outcome =
        run_scenario(step, {{value, span()}}, matrix_seed);
    EXPECT_TRUE(outcome.passed()) << describe(outcome);
}

INSTANTIATE_TEST_SUITE_P(matrix, fault_single,
                         testing::Combine(testing::ValuesIn(all_steps),
                                          testing::ValuesIn(all_faults)),
                         [](const auto& cell) {
                             return cell_name(std::get<0>(cell.param),
                                              std::get<1>(cell.param));
                         });

class fault_pair : public testing::TestWithParam<std::tuple<fault, fault>>
{
};

// Guards against pairs of faults that lead to a violation only in combination.
// The second fault is injected 1.5 s after the first; pairs of the same fault
// are included.
TEST_P(fault_pair, keeps_promises_at_every_step)
{
    const auto [first, second] = GetParam();
    for (fault_step step : all_steps)
    {
        const scenario_outcome outcome = run_scenario(
            step, {{first, span()}, {second, span(1500)}}, matrix_seed);
        EXPECT_TRUE(outcome.passed())
            << to_string(step) << ": " << describe(outcome);
    }
}

INSTANTIATE_TEST_SUITE_P(
    matrix, fault_pair,
    testing::Combine(testing::ValuesIn(all_faults),
                     testing::ValuesIn(all_faults)),
    [](const auto& cell)
    {
        return std::string(to_string(std::get<0>(cell.param))) + "_then_" +
               std::string(to_string(std::get<1>(cell.param)));
    });

} // namespace
} // namespace kingcuprudder
