#include <gtest/gtest.h>
#include <soak/scenario.hpp>

#include <filesystem>

namespace kingcuprudder::soak
{

// Real processes are killed, stopped, paused and restarted while the store
// refuses calls, loses answers and compacts its history and minions lose
// orders. Every accepted job must run once and be reported as completed, and no
// refused job may run.
TEST(soak, a_short_run_has_no_violations)
{
    // Seed 105 guards against a run that is abandoned in the millisecond of its
    // confirmation and started twice. Seeds 204, 208 and 308 guard against
    // minions that end the members of a gang one by one.
    for (const unsigned seed : {1u, 105u, 204u, 208u, 308u})
    {
        scenario_options options;
        options.m_program = KCR_BINARY_DIR "/bin/kcr_node";
        options.m_folder =
            ::testing::TempDir() + "/soak-" + std::to_string(seed);
        std::filesystem::create_directories(options.m_folder);
        options.m_seed = seed;
        options.m_fault_duration = span::seconds(6);
        const scenario_report report = run_scenario(options);
        EXPECT_GT(report.m_accepted, 20);
        EXPECT_EQ(report.m_violations, std::vector<std::string>()) << seed;
    }
}

} // namespace kingcuprudder::soak
