#include <kingcuprudder/node/clocks.hpp>

#include <nlohmann/json.hpp>
#include <soak/deployment.hpp>
#include <soak/job_checks.hpp>
#include <soak/scenario.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <httplib.h>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace kingcuprudder::soak
{

namespace
{

using stand_ins::memory_store;

constexpr span job_interval = span(60);
constexpr span fault_interval = span(700);
constexpr span max_store_outage = span(3500);
constexpr span recovery_timeout = span::seconds(30);
// Longer than it takes to give up a task that was started last of all.
constexpr span recovery_timeout_with_crashes = span::seconds(60);
constexpr int faults_without_crashes = 8;
constexpr int faults_with_crashes = 12;
constexpr int max_false_entries = 4;
constexpr int max_false_entry_gap_ms = 200;
constexpr int restarts_per_fault = 2;
constexpr double lost_share_before_restarts = 0.5;
// One of so many jobs has a task that crashes its workers.
constexpr unsigned jobs_per_crashing_job = 60;
constexpr std::chrono::milliseconds call_timeout(2500);
constexpr int max_attempts = 6;
constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

/// The outcome of a job's submission.
struct submitted_job
{
    bool m_accepted = false;
    /// Each attempt so far was refused or got no connection.
    bool m_refused_only = true;
    int m_tasks = 1;
    bool m_crashes_workers = false;
};

/// A job to submit.
struct job_request
{
    std::string m_id;
    int m_tasks = 1;
    int m_work_ms = 100;
    /// The process to which it is submitted first.
    unsigned m_first = 0;
    /// The index of a task that crashes its workers, if there is one, and the
    /// time from its start to the crash.
    std::optional<int> m_crashing_task;
    int m_crash_delay_ms = 0;

    bool is_gang() const { return m_tasks % 2 == 0; }
};

/// Returns the spec of a job in the form that the simulated workers read.
std::string spec_of(const job_request& job)
{
    std::string spec = std::to_string(job.m_work_ms);
    if (job.is_gang() || job.m_crashing_task)
    {
        spec += " " + std::to_string(job.is_gang() ? job.m_tasks : 1);
    }
    if (job.m_crashing_task)
    {
        spec += " " + std::to_string(*job.m_crashing_task) + " " +
                std::to_string(job.m_crash_delay_ms);
    }
    return spec;
}

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// One run of the scenario.
class scenario
{
public:
    explicit scenario(const scenario_options& options)
        : m_options(options), m_random(options.m_seed),
          m_platform(options.m_minions, options.m_worker_lease),
          m_nodes(options.m_program, options.m_folder,
                  m_platform.store_address(), options.m_nodes,
                  options.m_worker_lease)
    {
    }

    scenario_report run()
    {
        for (int node = 0; node < m_nodes.size(); ++node)
        {
            m_nodes.start(node);
        }
        sleep_for(span(800));
        std::thread callers([this] { run_callers(); });
        run_faults();
        m_stop_callers = true;
        callers.join();
        recover();
        check();
        return m_report;
    }

private:
    int draw(int below)
    {
        return static_cast<int>(m_random() % static_cast<unsigned>(below));
    }

    httplib::Client client(int node) const
    {
        const std::string& address = m_nodes.caller_address(node);
        httplib::Client connection("http://" + address);
        connection.set_connection_timeout(std::chrono::milliseconds(300));
        connection.set_read_timeout(call_timeout);
        return connection;
    }

    static httplib::Headers headers()
    {
        return {{"Host", "h.example"}, {"Authorization", "Bearer key"}};
    }

    void run_callers()
    {
        std::mt19937 random(m_options.m_seed + 1);
        std::vector<std::thread> calls;
        while (!m_stop_callers)
        {
            char id[17];
            std::snprintf(id, sizeof id, "%08x%08x",
                          static_cast<unsigned>(random()),
                          static_cast<unsigned>(random()));
            job_request job;
            job.m_id = id;
            job.m_tasks = 1 + static_cast<int>(random() % 4);
            job.m_work_ms = 100 + static_cast<int>(random() % 1500);
            job.m_first = static_cast<unsigned>(random());
            if (m_options.m_crashes && random() % jobs_per_crashing_job == 0)
            {
                job.m_crashing_task = static_cast<int>(
                    random() % static_cast<unsigned>(job.m_tasks));
                job.m_crash_delay_ms = 2 + static_cast<int>(random() % 40);
            }
            calls.emplace_back([this, job] { submit(job); });
            sleep_for(job_interval);
        }
        for (std::thread& each : calls)
        {
            each.join();
        }
    }

    /// Submits a job and retries at the next process, as the platform's callers
    /// do.
    void submit(const job_request& request)
    {
        const nlohmann::json body{{"spec", spec_of(request)},
                                  {"steps",
                                   {{{"count", request.m_tasks},
                                     {"cpu", 1000},
                                     {"memMb", 1000},
                                     {"gpu", 1},
                                     {"estimateMs", request.m_work_ms},
                                     {"gang", request.is_gang()}}}}};
        submitted_job job;
        job.m_tasks = request.m_tasks;
        job.m_crashes_workers = request.m_crashing_task.has_value();
        for (unsigned attempt = 0; attempt < max_attempts && !job.m_accepted;
             ++attempt)
        {
            const int node =
                static_cast<int>((request.m_first + attempt) %
                                 static_cast<unsigned>(m_nodes.size()));
            const auto answer =
                client(node).Post(("/q/" + request.m_id).c_str(), headers(),
                                  body.dump(), "application/json");
            const int status = answer ? answer->status : 0;
            job.m_accepted = status == status_ok;
            const bool refused =
                status == status_unavailable || status == status_too_many ||
                (!answer && answer.error() == httplib::Error::Connection);
            job.m_refused_only = job.m_refused_only && refused;
            sleep_for(span(job.m_accepted ? 0 : 150));
        }
        std::lock_guard lock(m_mutex);
        m_jobs[request.m_id] = job;
    }

    void run_faults()
    {
        const instant end = node::boottime_now() + m_options.m_fault_duration;
        while (node::boottime_now() < end)
        {
            sleep_for(fault_interval);
            ++m_report.m_faults;
            inject_fault();
            for (int node = 0; node < m_nodes.size(); ++node)
            {
                if (!m_paused.contains(node))
                {
                    m_nodes.restart_if_ended(node);
                }
            }
        }
    }

    /// Injects a fault that misleads about the workers, if the options have
    /// one. Otherwise returns false.
    bool inject_misleading_fault()
    {
        if (m_options.m_false_entries &&
            (!m_options.m_late_starts || draw(2) == 0))
        {
            write_false_entries();
            return true;
        }
        if (m_options.m_late_starts)
        {
            restart_before_late_start();
            return true;
        }
        return false;
    }

    void write_false_entries()
    {
        using false_entry = stand_ins::simulated_minions::false_entry;
        constexpr std::array kinds{
            false_entry::later_start, false_entry::other_address,
            false_entry::other_id, false_entry::unreadable};
        const int count = 1 + draw(max_false_entries);
        for (int index = 0; index < count; ++index)
        {
            const false_entry kind = kinds[draw(kinds.size())];
            m_platform.minions().write_false_entry(
                kind, static_cast<unsigned>(m_random()));
            ++m_report.m_false_entries;
            sleep_for(span(draw(max_false_entry_gap_ms)));
        }
    }

    void restart_before_late_start()
    {
        m_platform.minions().lose_calls(lost_share_before_restarts,
                                        static_cast<unsigned>(m_random()));
        sleep_for(span(200 + draw(600)));
        for (int index = 0; index < restarts_per_fault; ++index)
        {
            m_report.m_late_starts +=
                m_platform.minions().restart_one_with_late_start(
                    static_cast<unsigned>(m_random()))
                    ? 1
                    : 0;
        }
        sleep_for(span(draw(600)));
        m_platform.minions().lose_calls(0, m_options.m_seed);
    }

    void inject_fault()
    {
        // Every second fault is of these kinds, if they are played at all.
        if (m_report.m_faults % 2 == 0 && inject_misleading_fault())
        {
            return;
        }
        const int node = draw(m_nodes.size());
        switch (draw(m_options.m_crashes ? faults_with_crashes
                                         : faults_without_crashes))
        {
        case 0:
        case 1:
            resume_all();
            m_nodes.kill(node);
            break;
        case 2:
            if (m_nodes.is_running(node) && !m_paused.contains(node))
            {
                m_nodes.terminate(node);
            }
            break;
        case 3:
            resume_all();
            if (m_nodes.is_running(node))
            {
                m_nodes.pause(node);
                m_paused.insert(node);
            }
            break;
        case 4:
            inject_store_fault(memory_store::fault::refuse, 1.0);
            break;
        case 5:
            inject_store_fault(memory_store::fault::lose_answer, 0.3);
            break;
        case 6:
            m_platform.store().compact();
            break;
        case 7:
            m_platform.minions().lose_calls(0.15, m_options.m_seed);
            sleep_for(span(draw(1500)));
            m_platform.minions().lose_calls(0, m_options.m_seed);
            break;
        case 8:
            resume_all();
            for (int each = 0; each < m_nodes.size(); ++each)
            {
                m_nodes.kill(each);
            }
            break;
        default:
            m_platform.minions().crash_one(static_cast<unsigned>(m_random()));
            break;
        }
    }

    void inject_store_fault(memory_store::fault kind, double share)
    {
        auto random = std::make_shared<std::mt19937>(m_random());
        m_platform.store().set_fault_hook(
            [random, kind, share](const std::string& call)
            {
                const double drawn =
                    std::uniform_real_distribution<double>(0, 1)(*random);
                const bool applies =
                    kind == memory_store::fault::refuse || call == "commit";
                return applies && drawn < share ? kind
                                                : memory_store::fault::none;
            });
        sleep_for(span(draw(static_cast<int>(max_store_outage.count()))));
        m_platform.store().set_fault_hook(nullptr);
    }

    void resume_all()
    {
        for (const int node : m_paused)
        {
            m_nodes.resume(node);
        }
        m_paused.clear();
    }

    void recover()
    {
        resume_all();
        m_platform.store().set_fault_hook(nullptr);
        m_platform.minions().lose_calls(0, m_options.m_seed);
        const instant end = node::boottime_now() +
                            (m_options.m_crashes || m_options.m_late_starts
                                 ? recovery_timeout_with_crashes
                                 : recovery_timeout);
        while (node::boottime_now() < end && !all_accepted_jobs_ended())
        {
            for (int node = 0; node < m_nodes.size(); ++node)
            {
                m_nodes.restart_if_ended(node);
            }
            sleep_for(span(300));
        }
    }

    std::string reported_state(const std::string& id)
    {
        for (int node = 0; node < m_nodes.size(); ++node)
        {
            const auto answer =
                client(node).Get(("/q/" + id).c_str(), headers());
            if (answer && answer->status != status_unavailable)
            {
                return answer->status == status_ok
                           ? nlohmann::json::parse(answer->body)
                                 .at("state")
                                 .get<std::string>()
                           : std::to_string(answer->status);
            }
        }
        return "no answer";
    }

    bool all_accepted_jobs_ended()
    {
        for (auto& [id, job] : m_jobs)
        {
            if (job.m_accepted && !m_ended.contains(id))
            {
                const std::string state = reported_state(id);
                if (state != "completed" && state != "failed")
                {
                    return false;
                }
                m_ended[id] = state;
            }
        }
        return true;
    }

    observed_job observe(const std::string& id, const submitted_job& job)
    {
        observed_job seen;
        seen.m_id = id;
        seen.m_accepted = job.m_accepted;
        seen.m_refused_only = job.m_refused_only;
        seen.m_crashes_workers = job.m_crashes_workers;
        seen.m_tasks = job.m_tasks;
        if (job.m_accepted)
        {
            const auto ended = m_ended.find(id);
            seen.m_state =
                ended == m_ended.end() ? reported_state(id) : ended->second;
        }
        const std::map<std::string, int> completed =
            m_platform.minions().completion_counts();
        for (int index = 0; index < job.m_tasks; ++index)
        {
            const std::string task = id + ".0.0." + std::to_string(index);
            seen.m_completed_tasks += completed.contains(task) ? 1 : 0;
            seen.m_started_tasks +=
                m_platform.minions().start_count(task) > 0 ? 1 : 0;
            seen.m_crashes = std::max(seen.m_crashes,
                                      m_platform.minions().crash_count(task));
        }
        return seen;
    }

    void check()
    {
        m_report.m_violations = m_platform.minions().violations();
        m_report.m_crashes = m_platform.minions().crash_count();
        for (const auto& [id, job] : m_jobs)
        {
            const observed_job seen = observe(id, job);
            m_report.m_accepted += seen.m_accepted ? 1 : 0;
            m_report.m_refused += seen.m_refused_only ? 1 : 0;
            m_report.m_unanswered +=
                !seen.m_accepted && !seen.m_refused_only ? 1 : 0;
            if (seen.m_accepted && seen.m_crashes_workers)
            {
                ++m_report.m_crashing_jobs;
                m_report.m_given_up += seen.m_state == "failed" ? 1 : 0;
            }
            const std::vector<std::string> found = job_violations(seen);
            m_report.m_violations.insert(m_report.m_violations.end(),
                                         found.begin(), found.end());
        }
    }

    scenario_options m_options;
    std::mt19937 m_random;
    stand_ins::platform_stand_in m_platform;
    deployment m_nodes;
    std::atomic<bool> m_stop_callers = false;
    std::mutex m_mutex;
    std::map<std::string, submitted_job> m_jobs;
    /// The final states of the jobs that have ended.
    std::map<std::string, std::string> m_ended;
    std::set<int> m_paused;
    scenario_report m_report;
};

} // namespace

scenario_options crash_options()
{
    scenario_options options;
    options.m_crashes = true;
    options.m_minions = 10;
    options.m_worker_lease = span(3000);
    return options;
}

scenario_report run_scenario(const scenario_options& options)
{
    return scenario(options).run();
}

} // namespace kingcuprudder::soak
