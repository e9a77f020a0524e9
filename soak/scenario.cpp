#include <kingcuprudder/node/clocks.hpp>

#include <nlohmann/json.hpp>
#include <soak/deployment.hpp>
#include <soak/scenario.hpp>
#include <stand_ins/platform_stand_in.hpp>

#include <atomic>
#include <chrono>
#include <httplib.h>
#include <map>
#include <mutex>
#include <random>
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
};

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
          m_platform(options.m_minions),
          m_nodes(options.m_program, options.m_folder,
                  m_platform.store_address(), options.m_nodes)
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
            const int tasks = 1 + static_cast<int>(random() % 4);
            const int work_ms = 100 + static_cast<int>(random() % 1500);
            const unsigned first = static_cast<unsigned>(random());
            calls.emplace_back(
                [this, name = std::string(id), tasks, work_ms, first]
                { submit(name, tasks, work_ms, first); });
            sleep_for(job_interval);
        }
        for (std::thread& each : calls)
        {
            each.join();
        }
    }

    /// Submits a job and retries at the next process, as the platform's callers
    /// do.
    void submit(const std::string& id, int tasks, int work_ms, unsigned first)
    {
        const bool gang = tasks % 2 == 0;
        const nlohmann::json body{
            {"spec", std::to_string(work_ms) +
                         (gang ? " " + std::to_string(tasks) : "")},
            {"steps",
             {{{"count", tasks},
               {"cpu", 1000},
               {"memMb", 1000},
               {"gpu", 1},
               {"estimateMs", work_ms},
               {"gang", gang}}}}};
        submitted_job job;
        job.m_tasks = tasks;
        for (unsigned attempt = 0; attempt < max_attempts && !job.m_accepted;
             ++attempt)
        {
            const int node = static_cast<int>(
                (first + attempt) % static_cast<unsigned>(m_nodes.size()));
            const auto answer =
                client(node).Post(("/q/" + id).c_str(), headers(), body.dump(),
                                  "application/json");
            const int status = answer ? answer->status : 0;
            job.m_accepted = status == status_ok;
            const bool refused =
                status == status_unavailable || status == status_too_many ||
                (!answer && answer.error() == httplib::Error::Connection);
            job.m_refused_only = job.m_refused_only && refused;
            sleep_for(span(job.m_accepted ? 0 : 150));
        }
        std::lock_guard lock(m_mutex);
        m_jobs[id] = job;
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

    void inject_fault()
    {
        const int node = draw(m_nodes.size());
        switch (draw(8))
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
        default:
            m_platform.minions().lose_calls(0.15, m_options.m_seed);
            sleep_for(span(draw(1500)));
            m_platform.minions().lose_calls(0, m_options.m_seed);
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
        const instant end = node::boottime_now() + recovery_timeout;
        while (node::boottime_now() < end && !all_accepted_jobs_completed())
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

    bool all_accepted_jobs_completed()
    {
        for (auto& [id, job] : m_jobs)
        {
            if (job.m_accepted && !m_completed.contains(id))
            {
                if (reported_state(id) != "completed")
                {
                    return false;
                }
                m_completed.insert(id);
            }
        }
        return true;
    }

    void check()
    {
        const std::map<std::string, int> completed =
            m_platform.minions().completion_counts();
        m_report.m_violations = m_platform.minions().violations();
        for (const auto& [id, job] : m_jobs)
        {
            m_report.m_accepted += job.m_accepted ? 1 : 0;
            m_report.m_refused += job.m_refused_only ? 1 : 0;
            m_report.m_unanswered +=
                !job.m_accepted && !job.m_refused_only ? 1 : 0;
            int completed_tasks = 0;
            for (int task = 0; task < job.m_tasks; ++task)
            {
                completed_tasks += static_cast<int>(
                    completed.count(id + ".0.0." + std::to_string(task)));
            }
            if (job.m_accepted && !m_completed.contains(id))
            {
                m_report.m_violations.push_back("accepted job " + id +
                                                " is reported as " +
                                                reported_state(id));
            }
            if (job.m_accepted && completed_tasks < job.m_tasks)
            {
                m_report.m_violations.push_back(
                    "accepted job " + id + " completed " +
                    std::to_string(completed_tasks) + " of " +
                    std::to_string(job.m_tasks) + " tasks");
            }
            if (job.m_refused_only && completed_tasks > 0)
            {
                m_report.m_violations.push_back("refused job " + id + " ran");
            }
        }
    }

    scenario_options m_options;
    std::mt19937 m_random;
    stand_ins::platform_stand_in m_platform;
    deployment m_nodes;
    std::atomic<bool> m_stop_callers = false;
    std::mutex m_mutex;
    std::map<std::string, submitted_job> m_jobs;
    std::set<std::string> m_completed;
    std::set<int> m_paused;
    scenario_report m_report;
};

} // namespace

scenario_report run_scenario(const scenario_options& options)
{
    return scenario(options).run();
}

} // namespace kingcuprudder::soak
