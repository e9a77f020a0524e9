#include "command.hpp"
#include "command_error.hpp"
#include "http_call.hpp"
#include "text_table.hpp"
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/runtime/utc_text.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace kingcuprudder
{

namespace
{

using nlohmann::json;

constexpr const char* entry_name = "entry process";

/// The maximum time that an entry process delays the answer to a waiting call.
constexpr std::int64_t max_wait_ms = 20000;

std::string time_text(const json& milliseconds)
{
    const auto count = milliseconds.get<std::int64_t>();
    return count == 0 ? "-" : utc_text(instant(count));
}

json call_entry(const command_line& line, const http_request& request,
                span timeout)
{
    const std::string body =
        body_or_throw(call_any(entry_name, line.entries(), request, timeout));
    json answer = json::parse(body, nullptr, false);
    if (answer.is_discarded())
    {
        throw command_error(exit_code::internal,
                            "the entry process answered with no JSON");
    }
    return answer;
}

std::string outcome_text(const json& job)
{
    return job.value("outcome", "-") + " (" + job.value("verdict", "") + ")";
}

void print_job(const json& job, bool as_json)
{
    if (as_json)
    {
        std::cout << job.dump(2) << "\n";
        return;
    }
    std::cout << "job       " << job.value("account", "") << "/"
              << job.value("id", "") << "\n"
              << "class     " << job.value("class", "") << "\n"
              << "phase     " << job.value("phase", "") << "\n"
              << "attempt   " << job.value("attempt", 0) << "\n"
              << "accepted  " << time_text(job.at("accepted_at_ms")) << "\n"
              << "started   " << time_text(job.at("started_at_ms")) << "\n"
              << "ended     " << time_text(job.at("ended_at_ms")) << "\n"
              << "outcome   " << outcome_text(job) << "\n";
    for (const json& part : job.at("placement"))
    {
        std::cout << "placed    " << part.value("worker", "") << ": "
                  << part.value("tasks", 0) << " tasks on accelerators "
                  << part.at("accelerators").dump() << "\n";
    }
    if (job.contains("answer"))
    {
        std::cout << "answer    " << job.value("answer", "") << "\n";
    }
}

/// The options that name a job.
struct job_name
{
    explicit job_name(command_line& line)
        : m_account("account", "Client account.", true, "", "account",
                    line.parser()),
          m_job("job", "Job id.", true, "", "job", line.parser())
    {
    }

    std::string path() const
    {
        return "/v1/jobs/" + m_account.getValue() + "/" + m_job.getValue();
    }

    TCLAP::UnlabeledValueArg<std::string> m_account;
    TCLAP::UnlabeledValueArg<std::string> m_job;
};

/// Waits for the end of the job with repeated long polls.
json wait_for_end(const command_line& line, const std::string& path, span wait)
{
    const instant end = system_now() + wait;
    for (;;)
    {
        const std::int64_t left = std::clamp<std::int64_t>(
            (end - system_now()).count(), 0, max_wait_ms);
        const http_request request{
            "GET", path + "?wait_ms=" + std::to_string(left), ""};
        json job = call_entry(line, request, line.timeout() + span(left));
        if (job.value("phase", "") == "ended" || system_now() >= end)
        {
            return job;
        }
    }
}

/// The options that describe a new job.
class submit_options
{
public:
    explicit submit_options(command_line& line)
        : m_name(line),
          m_class("", "class", "Job class.", true, "", "name", line.parser()),
          m_tasks("", "tasks", "Tasks of the gang.", false, 1, "count",
                  line.parser()),
          m_accelerators("", "accelerators", "Accelerators per task.", false, 1,
                         "count", line.parser()),
          m_cores("", "cores", "Cores per task.", false, 1, "count",
                  line.parser()),
          m_memory("", "memory-mb", "Memory per task in MB.", false, 0, "MB",
                   line.parser()),
          m_proximity("", "proximity", "worker, rack, zone or region.", false,
                      "region", "level", line.parser()),
          m_run_time("", "run-time-s",
                     "Declared run time in seconds; the class states the "
                     "default.",
                     false, 0, "seconds", line.parser()),
          m_deadline("", "deadline-s",
                     "Deadline in seconds from now; none by default.", false, 0,
                     "seconds", line.parser()),
          m_urgent("", "urgent", "Go to the front of the queue.",
                   line.parser()),
          m_payload("", "payload", "Passed to the tasks unchanged.", false, "",
                    "text", line.parser())
    {
    }

    std::string path() const { return m_name.path(); }

    json submission() const
    {
        json job = {{"account", m_name.m_account.getValue()},
                    {"id", m_name.m_job.getValue()},
                    {"class", m_class.getValue()},
                    {"shape",
                     {{"tasks", m_tasks.getValue()},
                      {"accelerators_per_task", m_accelerators.getValue()},
                      {"cores_per_task", m_cores.getValue()},
                      {"memory_mb_per_task", m_memory.getValue()},
                      {"proximity", m_proximity.getValue()}}}};
        if (m_run_time.isSet())
        {
            job["run_time_ms"] = span::seconds(m_run_time.getValue()).count();
        }
        if (m_deadline.isSet())
        {
            job["deadline_ms"] =
                (system_now() + span::seconds(m_deadline.getValue())).count();
        }
        if (m_urgent.getValue())
        {
            job["urgent"] = true;
        }
        if (m_payload.isSet())
        {
            job["payload"] = m_payload.getValue();
        }
        return job;
    }

private:
    job_name m_name;
    TCLAP::ValueArg<std::string> m_class;
    TCLAP::ValueArg<std::int64_t> m_tasks;
    TCLAP::ValueArg<std::int64_t> m_accelerators;
    TCLAP::ValueArg<std::int64_t> m_cores;
    TCLAP::ValueArg<std::int64_t> m_memory;
    TCLAP::ValueArg<std::string> m_proximity;
    TCLAP::ValueArg<std::int64_t> m_run_time;
    TCLAP::ValueArg<std::int64_t> m_deadline;
    TCLAP::SwitchArg m_urgent;
    TCLAP::ValueArg<std::string> m_payload;
};

void submit(command_line& line, const arguments& words)
{
    const submit_options options(line);
    TCLAP::ValueArg<std::int64_t> wait("", "wait-s",
                                       "Wait so long for the job's end.", false,
                                       0, "seconds", line.parser());
    line.parse(words);
    json job =
        call_entry(line, {"POST", "/v1/jobs", options.submission().dump()},
                   line.timeout());
    if (wait.isSet())
    {
        job =
            wait_for_end(line, options.path(), span::seconds(wait.getValue()));
    }
    print_job(job, line.json());
}

void list(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> account(
        "account", "Client account.", true, "", "account", line.parser());
    line.parse(words);
    const json answer =
        call_entry(line, {"GET", "/v1/jobs?account=" + account.getValue(), ""},
                   line.timeout());
    if (line.json())
    {
        std::cout << answer.dump(2) << "\n";
        return;
    }
    text_table table(
        {"JOB", "CLASS", "PHASE", "ATTEMPT", "ACCEPTED", "OUTCOME"});
    for (const json& job : answer.at("jobs"))
    {
        table.add({job.value("id", ""), job.value("class", ""),
                   job.value("phase", ""),
                   std::to_string(job.value("attempt", 0)),
                   time_text(job.at("accepted_at_ms")), outcome_text(job)});
    }
    table.print(std::cout);
}

void show(command_line& line, const arguments& words)
{
    const job_name name(line);
    line.parse(words);
    print_job(call_entry(line, {"GET", name.path(), ""}, line.timeout()),
              line.json());
}

void cancel(command_line& line, const arguments& words)
{
    const job_name name(line);
    line.parse(words);
    print_job(call_entry(line, {"DELETE", name.path(), ""}, line.timeout()),
              line.json());
}

void why(command_line& line, const arguments& words)
{
    const job_name name(line);
    line.parse(words);
    const json reason =
        call_entry(line, {"GET", name.path() + "/why", ""}, line.timeout());
    if (line.json())
    {
        std::cout << reason.dump(2) << "\n";
        return;
    }
    std::cout << reason.value("reason", "") << "\nexpected start  "
              << time_text(reason.at("expected_start_ms")) << "\n";
}

} // namespace

std::vector<command> job_commands()
{
    return {{"jobs submit", "Submits a job.", submit},
            {"jobs list", "Lists an account's jobs.", list},
            {"jobs show", "Shows a job.", show},
            {"jobs cancel", "Cancels a job.", cancel},
            {"jobs why", "Says why a job waits.", why}};
}

} // namespace kingcuprudder
