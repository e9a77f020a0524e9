#include <soak/scenario.hpp>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>

// Runs the soak scenario with each seed in turn and prints its results. Exits
// with status 1 if any run had a violation.
int main(int argc, char** argv)
{
    namespace soak = kingcuprudder::soak;
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
    line.parse(argc, argv);
    int failed_seeds = 0;
    for (unsigned seed = first.getValue();
         seed < first.getValue() + seeds.getValue(); ++seed)
    {
        soak::scenario_options options = crashes.getValue()
                                             ? soak::crash_options()
                                             : soak::scenario_options();
        options.m_program =
            (std::filesystem::canonical("/proc/self/exe").parent_path() /
             "kcr_node")
                .string();
        options.m_folder = folder.getValue() + "/" + std::to_string(seed);
        std::filesystem::create_directories(options.m_folder);
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
