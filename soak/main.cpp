#include <soak/rolling_restarts.hpp>
#include <soak/scenario.hpp>
#include <soak/shutdown_profile.hpp>
#include <soak/takeover.hpp>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace
{

namespace soak = kingcuprudder::soak;

/// Returns the path of kcr_node, which is beside this program.
std::string node_program()
{
    return (std::filesystem::canonical("/proc/self/exe").parent_path() /
            "kcr_node")
        .string();
}

void print_lines(const std::vector<std::string>& lines)
{
    for (const std::string& each : lines)
    {
        std::printf("  %s\n", each.c_str());
    }
}

/// Prints the results of one seed's rolling restarts. Returns whether each
/// request got a response and what must hold for jobs holds.
bool print_rolling_restarts(const soak::rolling_restart_options& options)
{
    const soak::rolling_restart_report report =
        soak::run_rolling_restarts(options);
    const soak::job_calls& jobs = report.m_job_calls;
    std::printf("seed %u: restarts %d configurations %d answered %d refused "
                "connections %d unanswered %zu; jobs: accepted %d answered %d "
                "unavailable %d refused connections %d wrong %zu broken %zu\n",
                options.m_seed, report.m_restarts, report.m_configurations,
                report.m_calls.m_answered, report.m_calls.m_refused_connections,
                report.m_calls.m_unanswered.size(), report.m_accepted,
                jobs.m_answered, jobs.m_unavailable, jobs.m_refused_connections,
                jobs.m_violations.size(), report.m_violations.size());
    print_lines(report.m_calls.m_unanswered);
    print_lines(jobs.m_violations);
    print_lines(report.m_violations);
    std::fflush(stdout);
    return report.m_calls.m_unanswered.empty() && jobs.m_violations.empty() &&
           report.m_violations.empty();
}

/// Prints the table of one seed's shutdown. Returns whether each request got a
/// response, the process exited in time and what must hold for jobs holds.
bool print_shutdown_profile(const soak::shutdown_profile_options& options)
{
    const soak::shutdown_report report = soak::run_shutdown_profile(options);
    const std::vector<std::string> unanswered =
        soak::unanswered_requests(report);
    std::printf("%s", soak::table_of(report).c_str());
    std::printf(
        "seed %u: %s after %lld ms accepted %d unanswered %zu (before, "
        "too: stored %d absent %d) broken %zu\n",
        options.m_seed, report.m_exited ? "exited" : "killed",
        static_cast<long long>(report.m_lived.count()), report.m_accepted,
        unanswered.size(), report.m_calls.m_stored_without_response,
        report.m_calls.m_absent_without_response, report.m_violations.size());
    print_lines(unanswered);
    print_lines(report.m_violations);
    std::fflush(stdout);
    return unanswered.empty() && report.m_violations.empty() && report.m_exited;
}

/// Prints the time of one takeover in milliseconds, or -1 if it took too long.
/// Returns whether the job was started in time.
bool run_takeover(unsigned seed, const std::string& folder, int ended_jobs,
                  double lost_answers)
{
    soak::takeover_options options;
    options.m_program = node_program();
    options.m_folder = folder;
    options.m_ended_jobs = ended_jobs;
    options.m_link.m_lost_answers = lost_answers;
    options.m_link.m_seed = seed;
    const soak::takeover_report report = soak::measure_takeover(options);
    constexpr kingcuprudder::span none(-1);
    std::printf(
        "seed %u: ended jobs %d lost answers %.2f accepted_ms %lld "
        "started_ms %lld\n",
        seed, ended_jobs, lost_answers,
        static_cast<long long>(report.m_accepted.value_or(none).count()),
        static_cast<long long>(report.m_started.value_or(none).count()));
    std::fflush(stdout);
    return report.m_started.has_value();
}

} // namespace

// Runs the soak scenario with each seed in turn and prints its results. Exits
// with status 1 if any run had a violation.
int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Runs real processes under random faults.", ' ', "0.1");
    TCLAP::ValueArg<unsigned> first("", "first-seed", "first seed", false, 1,
                                    "number", line);
    TCLAP::ValueArg<unsigned> seeds("", "seeds", "number of seeds", false, 1,
                                    "number", line);
    TCLAP::ValueArg<int> seconds("", "seconds",
                                 "duration of the fault injection in seconds",
                                 false, 10, "number", line);
    TCLAP::ValueArg<int> nodes("", "nodes", "number of kcr_node processes",
                               false, 3, "number", line);
    TCLAP::ValueArg<std::string> folder("", "folder",
                                        "folder for settings and logs", false,
                                        "soak-logs", "path", line);
    TCLAP::SwitchArg crashes("", "crashes",
                             "workers crash, some by their tasks", line);
    TCLAP::SwitchArg false_entries(
        "", "false-entries",
        "another writer puts false entries into the worker list", line);
    TCLAP::SwitchArg late_starts(
        "", "late-starts",
        "workers restart before they carry out starts that are late", line);
    TCLAP::SwitchArg rolling_restarts(
        "", "rolling-restarts",
        "end the processes with SIGTERM in turn and check each request", line);
    TCLAP::ValueArg<int> callers("", "callers",
                                 "callers beside rolling restarts", false, 24,
                                 "number", line);
    TCLAP::SwitchArg without_restarts(
        "", "without-restarts",
        "end no process although --rolling-restarts is given", line);
    TCLAP::ValueArg<int> configurations(
        "", "configuration-interval",
        "time between two configurations beside --rolling-restarts, each with "
        "a SIGHUP",
        false, 0, "ms", line);
    TCLAP::SwitchArg shutdown_profile(
        "", "shutdown-profile",
        "end one process with SIGTERM and print what its callers see", line);
    TCLAP::ValueArg<int> grace("", "grace",
                               "shutdown grace time in seconds with "
                               "--shutdown-profile",
                               false, 3, "seconds", line);
    TCLAP::ValueArg<int> processor("", "processor",
                                   "share of a core with --shutdown-profile",
                                   false, 100, "percent", line);
    TCLAP::ValueArg<int> store_delay("", "store-delay",
                                     "delay of each call to the store with "
                                     "--shutdown-profile",
                                     false, 0, "ms", line);
    TCLAP::ValueArg<int> lost_answers("", "lost-answers",
                                      "share of the answers to writes that "
                                      "--shutdown-profile loses",
                                      false, 0, "percent", line);
    TCLAP::ValueArg<int> takeover(
        "", "takeover",
        "measure the time of a takeover beside the records of so many ended "
        "jobs, on a link of 10 Mbit/s",
        false, -1, "ended jobs", line);
    TCLAP::ValueArg<double> lost_share(
        "", "lost-share",
        "share of the store's answers that a takeover loses", false, 0, "share",
        line);
    line.parse(argc, argv);
    int failed_seeds = 0;
    for (unsigned seed = first.getValue();
         seed < first.getValue() + seeds.getValue(); ++seed)
    {
        soak::scenario_options options = crashes.getValue()
                                             ? soak::crash_options()
                                             : soak::scenario_options();
        options.m_program = node_program();
        options.m_folder = folder.getValue() + "/" + std::to_string(seed);
        std::filesystem::create_directories(options.m_folder);
        if (rolling_restarts.getValue())
        {
            soak::rolling_restart_options rolling;
            rolling.m_program = options.m_program;
            rolling.m_folder = options.m_folder;
            rolling.m_seed = seed;
            rolling.m_nodes = nodes.getValue();
            rolling.m_callers = callers.getValue();
            rolling.m_duration =
                kingcuprudder::span::seconds(seconds.getValue());
            rolling.m_restarts = !without_restarts.getValue();
            rolling.m_configuration_interval =
                kingcuprudder::span(configurations.getValue());
            failed_seeds += print_rolling_restarts(rolling) ? 0 : 1;
            continue;
        }
        if (shutdown_profile.getValue())
        {
            constexpr double all_percent = 100;
            soak::shutdown_profile_options profile;
            profile.m_program = options.m_program;
            profile.m_folder = options.m_folder;
            profile.m_seed = seed;
            profile.m_callers = callers.getValue();
            profile.m_processor_percent = processor.getValue();
            profile.m_grace = kingcuprudder::span::seconds(grace.getValue());
            profile.m_store_delay = kingcuprudder::span(store_delay.getValue());
            profile.m_lost_answers = lost_answers.getValue() / all_percent;
            failed_seeds += print_shutdown_profile(profile) ? 0 : 1;
            continue;
        }
        if (takeover.isSet())
        {
            failed_seeds +=
                run_takeover(seed, options.m_folder, takeover.getValue(),
                             lost_share.getValue())
                    ? 0
                    : 1;
            continue;
        }
        options.m_seed = seed;
        options.m_nodes = nodes.getValue();
        options.m_false_entries = false_entries.getValue();
        options.m_late_starts = late_starts.getValue();
        options.m_fault_duration =
            kingcuprudder::span::seconds(seconds.getValue());
        const soak::scenario_report report = soak::run_scenario(options);
        std::printf("seed %u: accepted %d refused %d unanswered %d faults %d "
                    "crashes %d crashing jobs %d given up %d false entries %d "
                    "late starts %d broken %zu\n",
                    seed, report.m_accepted, report.m_refused,
                    report.m_unanswered, report.m_faults, report.m_crashes,
                    report.m_crashing_jobs, report.m_given_up,
                    report.m_false_entries, report.m_late_starts,
                    report.m_violations.size());
        for (const std::string& each : report.m_violations)
        {
            std::printf("  %s\n", each.c_str());
        }
        std::fflush(stdout);
        failed_seeds += report.m_violations.empty() ? 0 : 1;
    }
    return failed_seeds == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
