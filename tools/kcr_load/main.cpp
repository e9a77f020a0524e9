#include "load_options.hpp"
#include "load_runner.hpp"
#include "stand_in_history.hpp"

#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>

namespace
{

using namespace kingcuprudder;
using namespace kingcuprudder::load;

constexpr int exit_violation = 3;
constexpr int exit_incomplete = 4;

/// The command line of kcr_load.
class load_command_line
{
public:
    load_options parse(int argc, char** argv)
    {
        m_line.parse(argc, argv);
        load_options options;
        options.m_entries = m_entries.getValue();
        options.m_minions = m_minions.getValue();
        options.m_workers = m_workers.getValue();
        options.m_account = m_account.getValue();
        options.m_service = m_service.getValue();
        options.m_job_class = m_job_class.getValue();
        options.m_requests_per_second = m_request_rate.getValue();
        options.m_jobs_per_second = m_job_rate.getValue();
        options.m_duration = span::seconds(m_duration.getValue());
        options.m_max_calls = m_max_calls.getValue();
        options.m_non_idempotent_percent = m_non_idempotent.getValue();
        options.m_max_tasks = std::max(m_max_tasks.getValue(), 1U);
        options.m_job_run_time = span(m_job_run_time.getValue());
        options.m_request_timeout = span(m_timeout.getValue());
        options.m_threads = m_threads.getValue();
        options.m_seed = m_seed.getValue();
        return options;
    }

    const std::string& json_file() const { return m_json.getValue(); }

private:
    using texts = TCLAP::MultiArg<std::string>;
    using text = TCLAP::ValueArg<std::string>;
    using count = TCLAP::ValueArg<unsigned>;
    using number = TCLAP::ValueArg<double>;

    TCLAP::CmdLine m_line{"Makes load for kingcuprudder and checks that "
                          "everything ran at most once."};
    texts m_entries{"", "entry", "Entry process.", true, "ip:port", m_line};
    texts m_minions{"",    "minion",  "Minion whose history is checked.",
                    false, "ip:port", m_line};
    texts m_workers{"",    "worker",  "Worker whose history is checked.",
                    false, "ip:port", m_line};
    text m_account{"", "account", "Client account.", true, "", "id", m_line};
    text m_service{"",   "service", "Service for requests.", false, "",
                   "id", m_line};
    text m_job_class{"",   "class", "Class of the jobs.", false, "",
                     "id", m_line};
    number m_request_rate{
        "", "request-rate", "Requests each second.", false, 0, "rate", m_line};
    number m_job_rate{"",     "job-rate", "Jobs each second.", false, 0,
                      "rate", m_line};
    count m_duration{"",  "duration-s", "Length of the run.", false, 10,
                     "s", m_line};
    count m_max_calls{"",    "max-calls", "Most calls to make.",
                      false, 100'000,     "count",
                      m_line};
    count m_non_idempotent{"",
                           "non-idempotent-percent",
                           "Share that must run at most once.",
                           false,
                           50,
                           "%",
                           m_line};
    count m_max_tasks{"",      "max-tasks", "Most tasks of a job.", false, 4,
                      "count", m_line};
    count m_job_run_time{"",   "job-run-ms", "Run time of a job.", false, 200,
                         "ms", m_line};
    count m_timeout{"",   "timeout-ms", "Timeout of a call.", false, 5000,
                    "ms", m_line};
    count m_threads{"",      "threads", "Callers at once.", false, 32,
                    "count", m_line};
    count m_seed{"",       "seed", "Seed of the schedule.", false, 1,
                 "number", m_line};
    text m_json{"",     "json", "Also write the report here.", false, "",
                "file", m_line};
};

int finish(const load_report& report, const std::string& json_file)
{
    std::cout << to_text(report);
    if (!json_file.empty())
    {
        std::ofstream(json_file) << to_json(report) << "\n";
    }
    if (!report.m_violations.empty())
    {
        return exit_violation;
    }
    return report.m_unread_histories.empty() ? 0 : exit_incomplete;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        load_command_line line;
        const load_options options = line.parse(argc, argv);
        load_runner runner(options);
        runner.run();
        return finish(check_load(options, runner), line.json_file());
    }
    catch (const std::exception& problem)
    {
        std::cerr << "kcr_load: " << problem.what() << "\n";
        return 1;
    }
}
