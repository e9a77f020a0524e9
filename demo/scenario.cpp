#include <demo/http_json.hpp>
#include <demo/scenario.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iomanip>
#include <ostream>
#include <stdexcept>
#include <utility>

namespace kingcuprudder::demo
{

namespace
{

constexpr int http_accepted = 202;
constexpr int http_ok = 200;
constexpr int http_unprocessable = 422;
constexpr span end_timeout = span::seconds(60);
constexpr span takeover_timeout = span::seconds(30);

local_cluster_options options_of(const deployment& names,
                                 const std::string& settings_tree,
                                 const std::string& binary_folder,
                                 const std::string& work_folder)
{
    local_cluster_options options;
    options.m_binary_folder = binary_folder;
    options.m_work_folder = work_folder;
    options.m_settings_tree = settings_tree;
    options.m_region = names.m_region;
    options.m_zones = names.m_zones;
    options.m_service = names.m_service;
    options.m_cores = names.m_cores;
    return options;
}

unsigned bit_count(std::uint64_t mask)
{
    return static_cast<unsigned>(__builtin_popcountll(mask));
}

void print_verdict(std::ostream& out, const std::string& what, bool correct)
{
    out << "  " << std::left << std::setw(46) << what
        << (correct ? "ok" : "WRONG") << "\n";
}

} // namespace

scenario::scenario(deployment names, const std::string& settings_tree,
                   const std::string& binary_folder,
                   const std::string& work_folder)
    : m_names(std::move(names)),
      m_cluster(options_of(m_names, settings_tree, binary_folder, work_folder))
{
}

void scenario::start(std::ostream& out)
{
    m_cluster.start();
    out << "store " << m_cluster.store_address() << "\n"
        << "instance list " << m_cluster.instance_list_address() << "\n";
    for (const auto* group : {&m_cluster.entries(), &m_cluster.schedulers(),
                              &m_cluster.workers(), &m_cluster.minions()})
    {
        for (const member_process& each : *group)
        {
            out << each.m_name << " " << each.m_http_address << "\n";
        }
    }
    out << std::flush;
}

bool scenario::run(std::ostream& out)
{
    out << "Deployment " << m_names.m_name << ", region " << m_names.m_region
        << "\n";
    m_cluster.start();

    const job_request gang{"gang", m_names.m_job_class, 4, 8, "zone", 6000};
    const job_request once{"once", m_names.m_once_class, 1, 2, "worker", 1500};
    const job_request small{"small", m_names.m_job_class, 2, 1, "worker", 500};
    const job_request impossible{
        "impossible", m_names.m_job_class, 65, 8, "rack", 500};

    bool correct = true;
    std::string answer;
    for (const job_request* job : {&gang, &once, &small})
    {
        const int status = submit(0, *job, answer);
        correct = correct && (status == http_ok || status == http_accepted);
    }
    print_verdict(out, "jobs accepted", correct);

    const int refusal = submit(1, impossible, answer);
    const bool refused = refusal == http_unprocessable &&
                         answer.find("not_run") != std::string::npos;
    print_verdict(out, "impossible job refused with \"not run\"", refused);
    correct = correct && refused;

    const bool running = wait_for_phase(gang.m_id, "running");
    print_verdict(out, "gang runs", running);
    correct = correct && running && kill_owner(out);
    correct = send_request_twice(out) && correct;

    for (const job_request* job : {&gang, &once, &small})
    {
        correct = wait_for_phase(job->m_id, "ended") && correct;
    }
    const std::map<std::string, job_runs> runs = runs_by_job();
    out << "\n  job         outcome     attempt  parts started/succeeded  "
           "accelerators  workers\n";
    for (const job_request* job : {&gang, &once, &small, &impossible})
    {
        correct = check_job(out, *job, runs) && correct;
    }
    out << "\n"
        << (correct ? "Everything ran exactly once.\n" : "FAILED.\n") << "\n";
    return correct;
}

int scenario::submit(std::size_t entry, const job_request& job,
                     std::string& answer) const
{
    const nlohmann::json payload = {{"run_ms", job.m_run_ms}};
    const nlohmann::json body = {
        {"account", m_names.m_account},
        {"id", job.m_id},
        {"class", job.m_class},
        {"shape",
         {{"tasks", job.m_tasks},
          {"accelerators_per_task", job.m_accelerators_per_task},
          {"cores_per_task", 1},
          {"memory_mb_per_task", 256},
          {"proximity", job.m_proximity}}},
        {"run_time_ms", job.m_run_ms},
        {"payload", payload.dump()}};
    const http_answer reply =
        http_post(m_cluster.entry_address(entry), "/v1/jobs", body);
    answer = reply.m_body;
    return reply.m_status;
}

std::string scenario::phase_of(const std::string& id) const
{
    const std::string path = "/v1/jobs/" + m_names.m_account + "/" + id;
    const nlohmann::json status =
        json_of(http_get(m_cluster.entry_address(1), path));
    return status.is_object() ? status.value("phase", "") : "";
}

bool scenario::wait_for_phase(const std::string& id,
                              const std::string& phase) const
{
    return wait_until([&] { return phase_of(id) == phase; }, end_timeout);
}

bool scenario::kill_owner(std::ostream& out)
{
    const std::size_t owner = m_cluster.owner_index();
    if (owner == m_cluster.schedulers().size())
    {
        print_verdict(out, "no owner to kill", false);
        return false;
    }
    member_process& victim = m_cluster.schedulers()[owner];
    victim.m_process.send_signal(SIGKILL);
    victim.m_process.wait_for_exit(span::seconds(5));
    const bool taken_over = wait_until(
        [&]
        {
            const std::size_t next = m_cluster.owner_index();
            return next != owner && next < m_cluster.schedulers().size();
        },
        takeover_timeout);
    print_verdict(out, "owner " + victim.m_name + " killed, standby took over",
                  taken_over);
    return taken_over;
}

bool scenario::send_request_twice(std::ostream& out) const
{
    const nlohmann::json body = {
        {"account", m_names.m_account}, {"id", "request-1"},
        {"service", m_names.m_service}, {"idempotent", false},
        {"timeout_ms", 15000},          {"body", "confirm"}};
    const http_answer first = http_post(m_cluster.entry_address(0),
                                        "/v1/requests", body, end_timeout);
    const http_answer second = http_post(m_cluster.entry_address(1),
                                         "/v1/requests", body, end_timeout);
    const unsigned runs = minion_runs("request-1");
    const bool correct = first.m_status == http_ok &&
                         second.m_status == http_ok &&
                         first.m_body == second.m_body && runs == 1;
    print_verdict(out,
                  "request sent twice, ran " + std::to_string(runs) + " time",
                  correct);
    return correct;
}

unsigned scenario::minion_runs(const std::string& request) const
{
    unsigned count = 0;
    for (const auto& history : m_cluster.minion_history())
    {
        for (const auto& run : history.at("runs"))
        {
            // The id that a minion receives has the account as a prefix.
            const auto id = run.at("request").get<std::string>();
            count += id.find(request) != std::string::npos ? 1 : 0;
        }
    }
    return count;
}

std::map<std::string, scenario::job_runs> scenario::runs_by_job() const
{
    std::map<std::string, job_runs> runs;
    const nlohmann::json histories = m_cluster.worker_history();
    for (const auto& [worker, history] : histories.items())
    {
        for (const auto& event : history)
        {
            const auto& attempt = event.at("attempt");
            job_runs& job = runs[attempt.at("job").at("id")];
            job.m_attempts =
                std::max(job.m_attempts, attempt.at("attempt").get<unsigned>());
            if (event.at("event") == "start")
            {
                ++job.m_starts_by_worker[worker];
                job.m_accelerators +=
                    bit_count(event.at("accelerators").get<std::uint64_t>());
            }
            else if (event.at("state") == "succeeded")
            {
                ++job.m_parts_succeeded;
            }
        }
    }
    return runs;
}

bool scenario::check_job(std::ostream& out, const job_request& job,
                         const std::map<std::string, job_runs>& runs) const
{
    const auto found = runs.find(job.m_id);
    const job_runs observed = found == runs.end() ? job_runs{} : found->second;
    unsigned starts = 0;
    std::string workers;
    for (const auto& [worker, count] : observed.m_starts_by_worker)
    {
        starts += count;
        workers += " " + worker + "x" + std::to_string(count);
    }
    const std::string phase = phase_of(job.m_id);
    out << "  " << std::left << std::setw(12) << job.m_id << std::setw(12)
        << (phase.empty() ? "refused" : phase) << std::setw(9)
        << observed.m_attempts << std::setw(25)
        << std::to_string(starts) + "/" +
               std::to_string(observed.m_parts_succeeded)
        << std::setw(13) << observed.m_accelerators << workers << "\n";
    if (phase.empty())
    {
        return starts == 0;
    }
    // Each part starts once and succeeds once, with all accelerators.
    return phase == "ended" && starts == observed.m_starts_by_worker.size() &&
           observed.m_parts_succeeded == starts &&
           observed.m_accelerators == job.m_tasks * job.m_accelerators_per_task;
}

} // namespace kingcuprudder::demo
