#include "stand_in_history.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <httplib.h>
#include <optional>
#include <set>
#include <utility>

namespace kingcuprudder::load
{

namespace
{

using json = nlohmann::json;

std::optional<json> read_history(const std::string& address,
                                 load_report& report)
{
    httplib::Client client("http://" + address);
    const httplib::Result result = client.Get("/admin/history");
    json history = result ? json::parse(result->body, nullptr, false) : json();
    if (!result || result->status != 200 || history.is_discarded())
    {
        report.m_unread_histories.push_back(address);
        return std::nullopt;
    }
    report.m_checked = true;
    return history;
}

using events = std::vector<history_event>;

void add_minion(const json& history, const load_runner& runner, events& to)
{
    for (const json& each : history.at("runs"))
    {
        const std::string subject = each.at("request").get<std::string>();
        to.push_back(request_executed{subject, runner.idempotent(subject),
                                      instant(each.at("started_ms"))});
    }
}

std::string job_name(const json& event)
{
    const json& job = event.at("attempt").at("job");
    return job.at("account").get<std::string>() + "/" +
           job.at("id").get<std::string>();
}

void add_worker(const std::string& address, const json& history,
                const load_runner& runner, events& to)
{
    for (const json& each : history)
    {
        const std::string job = job_name(each);
        const auto attempt =
            each.at("attempt").at("attempt").get<std::uint32_t>();
        const instant at(each.at("at"));
        if (each.at("event") == "start")
        {
            part_started start;
            start.m_worker = worker_id(address);
            start.m_job = job;
            start.m_attempt = attempt;
            start.m_accelerators = each.at("accelerators");
            start.m_gang_parts = std::max(runner.parts_of(job), 1U);
            start.m_idempotent = runner.idempotent(job);
            start.m_at = at;
            to.push_back(start);
        }
        else
        {
            to.push_back(part_ended{worker_id(address), job, attempt,
                                    each.at("state") == "succeeded", at});
        }
    }
}

} // namespace

load_report check_load(const load_options& options, const load_runner& runner)
{
    load_report report = runner.report();
    events all = runner.history().events();
    for (const std::string& address : options.m_minions)
    {
        if (const auto history = read_history(address, report))
        {
            add_minion(*history, runner, all);
        }
    }
    for (const std::string& address : options.m_workers)
    {
        if (const auto history = read_history(address, report))
        {
            add_worker(address, *history, runner, all);
        }
    }
    if (report.m_checked)
    {
        history_bounds bounds;
        bounds.m_jobs_must_end = runner.unfinished_jobs() == 0;
        report.m_violations = check_history(all, bounds);
    }
    return report;
}

} // namespace kingcuprudder::load
