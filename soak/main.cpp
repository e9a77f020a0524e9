#include <soak/deployment_run.hpp>
#include <soak/named_sheets.hpp>
#include <soak/rolling_restarts.hpp>
#include <soak/scenario.hpp>
#include <soak/shutdown_profile.hpp>
#include <soak/takeover.hpp>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <vector>

namespace
{

namespace soak = kingcuprudder::soak;

constexpr double ms_per_s = 1000;

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

/// Returns the machine's runnable threads, on average over the last minute. A
/// machine with many more than processors delays answers by itself.
double machine_load()
{
    double load = 0;
    return ::getloadavg(&load, 1) == 1 ? load : 0;
}

/// Prints the results of a deployment's run with one seed. Returns whether
/// nothing was violated.
bool play_deployment(const soak::deployment_run_options& options)
{
    const soak::deployment_run_report report = soak::run_deployment(options);
    const soak::call_counts& calls = report.m_calls;
    std::printf(
        "seed %u: jobs %d accepted %d cancelled %d completed %d "
        "forgotten %d, planned work "
        "%d, faults %d, killed after grace %d, last job ended %.1f s after the "
        "load; requests answered %d and %d of status callers, rejected %d "
        "unanswered %zu and %d near "
        "faults, connections refused %d, longest call %lld ms; load of the "
        "machine %.0f; violations %zu\n",
        options.m_seed, report.m_jobs, report.m_accepted, report.m_cancelled,
        report.m_completed, report.m_forgotten, report.m_planned_work,
        report.m_faults, report.m_killed_after_grace,
        static_cast<double>(report.m_time_to_completion.count()) / ms_per_s,
        calls.m_answered, report.m_status_calls, calls.m_rejected,
        calls.m_unanswered.size(), calls.m_unanswered_near_disruptions,
        calls.m_refused_connections,
        static_cast<long long>(calls.m_longest_call.count()), machine_load(),
        report.m_violations.size());
    print_lines(report.m_violations);
    std::fflush(stdout);
    return report.m_violations.empty();
}

/// Prints the time of one takeover in milliseconds, or -1 if it took too long.
/// Returns whether the job was started in time.
bool play_takeover(const soak::takeover_options& options)
{
    const soak::takeover_report report = soak::measure_takeover(options);
    constexpr kingcuprudder::span none(-1);
    std::printf(
        "seed %u: ended jobs %d lost answers %.2f accepted_ms %lld "
        "started_ms %lld\n",
        options.m_link.m_seed, options.m_ended_jobs,
        options.m_link.m_lost_answers,
        static_cast<long long>(report.m_accepted.value_or(none).count()),
        static_cast<long long>(report.m_started.value_or(none).count()));
    std::fflush(stdout);
    return report.m_started.has_value();
}

/// Prints the results of one seed's scenario. Returns whether nothing was
/// violated.
bool play_scenario(const soak::scenario_options& options)
{
    const soak::scenario_report report = soak::run_scenario(options);
    std::printf("seed %u: accepted %d refused %d unanswered %d faults %d "
                "crashes %d crashing jobs %d given up %d false entries %d "
                "late starts %d broken %zu\n",
                options.m_seed, report.m_accepted, report.m_refused,
                report.m_unanswered, report.m_faults, report.m_crashes,
                report.m_crashing_jobs, report.m_given_up,
                report.m_false_entries, report.m_late_starts,
                report.m_violations.size());
    print_lines(report.m_violations);
    std::fflush(stdout);
    return report.m_violations.empty();
}

/// The arguments of the command line.
class arguments
{
public:
    arguments(int argc, char** argv) { m_line.parse(argc, argv); }

    /// Plays each seed in turn. Returns how many seeds had a violation.
    int play_seeds()
    {
        int failed_seeds = 0;
        const unsigned first = m_first.getValue();
        for (unsigned seed = first; seed < first + m_seeds.getValue(); ++seed)
        {
            const std::string folder =
                m_folder.getValue() + "/" + std::to_string(seed);
            std::filesystem::create_directories(folder);
            failed_seeds += play(seed, folder) ? 0 : 1;
        }
        return failed_seeds;
    }

private:
    bool play(unsigned seed, const std::string& folder)
    {
        if (m_deployment.getValue())
        {
            return play_deployment(deployment_options(seed, folder));
        }
        if (m_rolling_restarts.getValue())
        {
            return print_rolling_restarts(
                rolling_restart_options(seed, folder));
        }
        if (m_shutdown_profile.getValue())
        {
            return print_shutdown_profile(
                shutdown_profile_options(seed, folder));
        }
        if (m_takeover.isSet())
        {
            return play_takeover(takeover_options(seed, folder));
        }
        return play_scenario(scenario_options(seed, folder));
    }

    /// Returns options with the members that all kinds of runs have.
    template <typename Options>
    Options common_options(unsigned seed, const std::string& folder,
                           Options options = {})
    {
        options.m_program = node_program();
        options.m_folder = folder;
        options.m_seed = seed;
        return options;
    }

    kingcuprudder::span duration()
    {
        return kingcuprudder::span::seconds(m_seconds.getValue());
    }

    soak::deployment_run_options deployment_options(unsigned seed,
                                                    const std::string& folder)
    {
        auto options =
            common_options<soak::deployment_run_options>(seed, folder);
        options.m_sheet = soak::sheet_named(m_sheet.getValue());
        if (m_seconds.isSet())
        {
            options.m_sheet = soak::with_load_time(options.m_sheet, duration());
        }
        options.m_faults = m_faults.getValue();
        return options;
    }

    soak::rolling_restart_options
    rolling_restart_options(unsigned seed, const std::string& folder)
    {
        auto options =
            common_options<soak::rolling_restart_options>(seed, folder);
        options.m_nodes = m_nodes.getValue();
        options.m_callers = m_callers.getValue();
        options.m_duration = duration();
        options.m_restarts = !m_without_restarts.getValue();
        options.m_configuration_interval =
            kingcuprudder::span(m_configurations.getValue());
        return options;
    }

    soak::shutdown_profile_options
    shutdown_profile_options(unsigned seed, const std::string& folder)
    {
        constexpr double all_percent = 100;
        auto options =
            common_options<soak::shutdown_profile_options>(seed, folder);
        options.m_callers = m_callers.getValue();
        options.m_processor_percent = m_processor.getValue();
        options.m_grace = kingcuprudder::span::seconds(m_grace.getValue());
        options.m_store_delay = kingcuprudder::span(m_store_delay.getValue());
        options.m_lost_answers = m_lost_answers.getValue() / all_percent;
        return options;
    }

    soak::takeover_options takeover_options(unsigned seed,
                                            const std::string& folder)
    {
        soak::takeover_options options;
        options.m_program = node_program();
        options.m_folder = folder;
        options.m_ended_jobs = m_takeover.getValue();
        options.m_link.m_lost_answers = m_lost_share.getValue();
        options.m_link.m_seed = seed;
        return options;
    }

    soak::scenario_options scenario_options(unsigned seed,
                                            const std::string& folder)
    {
        auto options =
            common_options(seed, folder,
                           m_crashes.getValue() ? soak::crash_options()
                                                : soak::scenario_options());
        options.m_nodes = m_nodes.getValue();
        options.m_false_entries = m_false_entries.getValue();
        options.m_late_starts = m_late_starts.getValue();
        options.m_fault_duration = duration();
        return options;
    }

    /// Adds an argument with a value to the command line.
    template <typename Value>
    TCLAP::ValueArg<Value> value(const std::string& name,
                                 const std::string& text, Value preset,
                                 const std::string& unit)
    {
        return TCLAP::ValueArg<Value>("", name, text, false, preset, unit,
                                      m_line);
    }

    /// Adds an argument without a value to the command line.
    TCLAP::SwitchArg flag(const std::string& name, const std::string& text)
    {
        return TCLAP::SwitchArg("", name, text, m_line);
    }

    TCLAP::CmdLine m_line =
        TCLAP::CmdLine("Runs real processes under random faults.", ' ', "0.1");
    TCLAP::ValueArg<unsigned> m_first =
        value("first-seed", "first seed", 1U, "number");
    TCLAP::ValueArg<unsigned> m_seeds =
        value("seeds", "number of seeds", 1U, "number");
    TCLAP::ValueArg<int> m_seconds =
        value("seconds",
              "duration of the fault injection, or of the "
              "load of --deployment, in seconds",
              10, "number");
    TCLAP::ValueArg<int> m_nodes =
        value("nodes", "number of kcr_node processes", 3, "number");
    TCLAP::ValueArg<std::string> m_folder = value<std::string>(
        "folder", "folder for settings and logs", "soak-logs", "path");
    TCLAP::SwitchArg m_crashes =
        flag("crashes", "workers crash, some by their tasks");
    TCLAP::SwitchArg m_false_entries =
        flag("false-entries",
             "another writer puts false entries into the worker list");
    TCLAP::SwitchArg m_late_starts =
        flag("late-starts",
             "workers restart before they carry out starts that are late");
    TCLAP::SwitchArg m_rolling_restarts =
        flag("rolling-restarts",
             "end the processes with SIGTERM in turn and check each request");
    TCLAP::ValueArg<int> m_callers =
        value("callers", "callers beside rolling restarts", 24, "number");
    TCLAP::SwitchArg m_without_restarts =
        flag("without-restarts",
             "end no process although --rolling-restarts is given");
    TCLAP::ValueArg<int> m_configurations = value(
        "configuration-interval",
        "time between two configurations beside --rolling-restarts, each with "
        "a SIGHUP",
        0, "ms");
    TCLAP::SwitchArg m_shutdown_profile =
        flag("shutdown-profile",
             "end one process with SIGTERM and print what its callers see");
    TCLAP::ValueArg<int> m_grace = value("grace",
                                         "shutdown grace time in seconds with "
                                         "--shutdown-profile",
                                         3, "seconds");
    TCLAP::ValueArg<int> m_processor = value(
        "processor", "share of a core with --shutdown-profile", 100, "percent");
    TCLAP::ValueArg<int> m_store_delay =
        value("store-delay",
              "delay of each call to the store with "
              "--shutdown-profile",
              0, "ms");
    TCLAP::ValueArg<int> m_lost_answers =
        value("lost-answers",
              "share of the answers to writes that "
              "--shutdown-profile loses",
              0, "percent");
    TCLAP::SwitchArg m_deployment =
        flag("deployment", "a deployment with its load and planned work, in "
                           "the size of its sheet");
    std::vector<std::string> m_sheet_names = soak::sheet_names();
    TCLAP::ValuesConstraint<std::string> m_sheet_constraint =
        TCLAP::ValuesConstraint<std::string>(m_sheet_names);
    TCLAP::ValueArg<std::string> m_sheet = TCLAP::ValueArg<std::string>(
        "", "sheet", "the sheet that --deployment plays", false,
        m_sheet_names.front(), &m_sheet_constraint, m_line);
    TCLAP::SwitchArg m_faults =
        flag("faults", "unplanned faults beside the planned work of "
                       "--deployment");
    TCLAP::ValueArg<int> m_takeover = value(
        "takeover",
        "measure the time of a takeover beside the records of so many ended "
        "jobs, on a link of 10 Mbit/s",
        -1, "ended jobs");
    TCLAP::ValueArg<double> m_lost_share = value(
        "lost-share", "share of the store's answers that a takeover loses", 0.0,
        "share");
};

} // namespace

// Plays each seed in turn and prints its results. Exits with status 1 if any
// run had a violation.
int main(int argc, char** argv)
{
    arguments given(argc, argv);
    return given.play_seeds() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
