#include <gtest/gtest.h>
#include <soak/deployment_run.hpp>
#include <soak/rolling_restarts.hpp>
#include <soak/scenario.hpp>

#include <filesystem>
#include <unistd.h>

namespace kingcuprudder::soak
{

namespace
{

/// Creates the folder for settings and logs of a seed.
std::string folder_of(unsigned seed)
{
    // Tests of several checkouts may run at the same time.
    const std::string folder = ::testing::TempDir() + "/soak-" +
                               std::to_string(seed) + "-" +
                               std::to_string(getpid());
    std::filesystem::create_directories(folder);
    return folder;
}

scenario_report run_seed(scenario_options options, unsigned seed)
{
    options.m_program = KCR_BINARY_DIR "/bin/kcr_node";
    options.m_folder = folder_of(seed);
    options.m_seed = seed;
    return run_scenario(options);
}

/// Returns a deployment with a fifth of the processes and workers, two fifths
/// of the load and work that takes a third of the time.
deployment_sheet small_sheet()
{
    constexpr double load_share = 0.4;
    constexpr int work_divisor = 3;
    deployment_sheet sheet;
    sheet.m_processes = 6;
    sheet.m_small_processes = 4;
    sheet.m_workers = 70;
    sheet.m_callers = 30;
    sheet.m_status_callers = 3;
    sheet.m_load_time = span::seconds(12);
    sheet.m_finish_time = span::seconds(5);
    sheet.m_completion_time = span::seconds(15);
    for (job_kind& each : sheet.m_kinds)
    {
        each.m_jobs_per_s *= load_share;
        each.m_mean_work = each.m_mean_work / work_divisor;
        each.m_max_work = each.m_max_work / work_divisor;
    }
    return sheet;
}

} // namespace

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
        options.m_fault_duration = span::seconds(6);
        const scenario_report report = run_seed(options, seed);
        EXPECT_GT(report.m_accepted, 20);
        EXPECT_EQ(report.m_violations, std::vector<std::string>()) << seed;
    }
}

// The same while workers crash, some of them by tasks that crash each worker:
// these are given up in time, and no other job is.
TEST(soak, a_short_run_with_crashes_has_no_violations)
{
    for (const unsigned seed : {1010u, 9001u})
    {
        scenario_options options = crash_options();
        options.m_fault_duration = span::seconds(12);
        const scenario_report report = run_seed(options, seed);
        EXPECT_GT(report.m_accepted, 40);
        EXPECT_GT(report.m_crashing_jobs, 0);
        EXPECT_GT(report.m_crashes, 3);
        EXPECT_EQ(report.m_violations, std::vector<std::string>()) << seed;
    }
}

TEST(soak, false_entries_of_the_worker_list_cause_no_second_run)
{
    scenario_options options;
    options.m_fault_duration = span::seconds(9);
    options.m_false_entries = true;
    const scenario_report report = run_seed(options, 12);
    EXPECT_GT(report.m_accepted, 40);
    EXPECT_GT(report.m_false_entries, 3);
    EXPECT_EQ(report.m_violations, std::vector<std::string>());
}

// Guards against requests that have been sent to a process and end without a
// response when it is stopped, with no other fault.
TEST(soak, no_request_ends_without_a_response_at_a_planned_restart)
{
    rolling_restart_options options;
    options.m_program = KCR_BINARY_DIR "/bin/kcr_node";
    options.m_seed = 41;
    options.m_folder = folder_of(options.m_seed);
    options.m_duration = span::seconds(20);
    const rolling_restart_report report = run_rolling_restarts(options);
    EXPECT_GT(report.m_restarts, 15);
    EXPECT_GT(report.m_calls.m_answered, 5000);
    EXPECT_GT(report.m_accepted, 100);
    EXPECT_EQ(report.m_calls.m_unanswered, std::vector<std::string>());
    EXPECT_EQ(report.m_job_calls.m_violations, std::vector<std::string>());
    EXPECT_EQ(report.m_violations, std::vector<std::string>());
}

// Guards against requests without a response and accepted jobs that are lost
// when series of planned work overlap under the load of a deployment.
TEST(soak, no_job_or_response_is_lost_in_a_deployment_with_planned_work)
{
    deployment_run_options options;
    options.m_program = KCR_BINARY_DIR "/bin/kcr_node";
    options.m_seed = 71;
    options.m_folder = folder_of(options.m_seed);
    options.m_sheet = small_sheet();
    const deployment_run_report report = run_deployment(options);
    EXPECT_GT(report.m_accepted, 30);
    EXPECT_GT(report.m_completed, 25);
    EXPECT_GT(report.m_planned_work, 12);
    EXPECT_GT(report.m_calls.m_answered, 150);
    EXPECT_GT(report.m_status_calls, 200);
    EXPECT_EQ(report.m_violations, std::vector<std::string>());
}

} // namespace kingcuprudder::soak
