#include <kingcuprudder/node/clocks.hpp>

#include <soak/deployment_callers.hpp>
#include <soak/deployment_run.hpp>
#include <soak/fault_series.hpp>
#include <soak/job_checks.hpp>
#include <soak/promise_watch.hpp>
#include <soak/scheduled_work.hpp>
#include <soak/status_callers.hpp>
#include <stand_ins/limited_link.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <httplib.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

namespace kingcuprudder::soak
{

namespace
{

constexpr span step_time = span(50);
// The job that the callers ask for that ask all the time. It does not end, so
// that it is never forgotten. Its queue is the default one of the stand-in.
const std::string asked_job = "00000000000000aa";
constexpr const char* asked_job_body =
    R"({"spec":"{\"runMs\":100,\"cpu\":100,\"memMb\":1,\"lasts\":true}",)"
    R"("steps":[{"count":1,"cpu":100,"memMb":1,"gpu":1,"persistent":true}]})";
constexpr span ready_timeout = span::seconds(30);
constexpr span recovery_poll = span(2000);
// Callers are told of jobs that were accepted longer ago than this.
constexpr span visible_time = span(3000);
constexpr int status_ok = 200;
constexpr int status_gone = 410;
// Open connections: processes that lead one after the other keep up to two to
// each worker, and each process some to the store.
constexpr std::size_t worker_threads_per_worker = 4;
constexpr std::size_t store_threads_per_process = 24;
constexpr std::size_t min_threads = 200;

void sleep_for(span time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

stand_ins::platform_options platform_options_of(const deployment_sheet& sheet)
{
    stand_ins::platform_options options;
    options.m_minions.m_count = sheet.m_workers;
    options.m_minions.m_per_rack = sheet.m_workers_per_rack;
    options.m_minions.m_gpus = sheet.m_gpus_per_worker;
    options.m_minions.m_cpu = sheet.m_cpu_per_worker;
    options.m_minions.m_memory_mb = sheet.m_memory_mb_per_worker;
    options.m_minions.m_max_hold = sheet.m_worker_lease;
    options.m_minions.m_heartbeat = sheet.m_heartbeat;
    options.m_minions.m_gang_timeout = sheet.m_gang_timeout;
    options.m_minions.m_drain_time = sheet.m_drain_time;
    options.m_minions.m_listener_threads =
        min_threads + worker_threads_per_worker * sheet.m_workers;
    options.m_store_threads =
        min_threads + store_threads_per_process * sheet.m_processes;
    options.m_pages = stand_ins::platform_pages;

    for (const job_kind& each : sheet.m_kinds)
    {
        options.m_queues.push_back({each.m_queue, "/" + each.m_queue + "/",
                                    each.m_priority, each.m_max_attempts,
                                    each.m_stretch, each.m_target_duration});
    }
    return options;
}

/// Links between processes and the store.
using link_list = std::vector<std::unique_ptr<stand_ins::limited_link>>;

/// Returns the settings of the processes and of the one that is added. Adds a
/// link for each process with a limited one.
std::vector<process_profile> profiles_of(const deployment_sheet& sheet,
                                         const std::string& store_address,
                                         link_list& links)
{
    std::vector<process_profile> profiles;
    stand_ins::link_limits limits;
    limits.m_bytes_per_second = sheet.m_small_link;
    for (int index = 0; index <= sheet.m_processes; ++index)
    {
        process_profile& profile = profiles.emplace_back(process_profile{
            .m_store_address = store_address,
            .m_processor_share = sheet.m_processor_share,
            .m_memory_mb = sheet.m_process_memory_mb,
            .m_max_descriptors = sheet.m_process_descriptors,
            .m_zone = sheet.m_zones[static_cast<std::size_t>(index) %
                                    sheet.m_zones.size()]});
        const bool is_small =
            index >= sheet.m_processes - sheet.m_small_processes;
        if (is_small)
        {
            links.push_back(std::make_unique<stand_ins::limited_link>(
                store_address, limits));
            profile.m_store_address = links.back()->address();
            profile.m_processor_share = sheet.m_small_processor_share;
        }
    }
    return profiles;
}

bool is_ready(const std::string& readiness_address)
{
    httplib::Client client("http://" + readiness_address);
    const auto answer = client.Get("/kingcuprudder/ready");
    return answer && answer->status == status_ok;
}

/// One run of a deployment.
class deployment_run
{
public:
    explicit deployment_run(const deployment_run_options& options)
        : m_options(options), m_sheet(options.m_sheet),
          m_platform(platform_options_of(m_sheet)),
          m_nodes(options.m_program, options.m_folder,
                  profiles_of(m_sheet, m_platform.store_address(), m_links),
                  {m_sheet.m_worker_lease, m_sheet.m_shutdown_grace,
                   m_sheet.m_bounds.m_status_kept, m_sheet.m_heartbeat}),
          m_disruptions(m_sheet.m_bounds.m_contact),
          m_faults(m_nodes, m_platform, m_disruptions, options.m_seed),
          m_random(options.m_seed)
    {
    }

    deployment_run_report run()
    {
        start();
        balancer balance(m_nodes);
        deployment_callers callers(m_nodes, balance, m_disruptions, m_record,
                                   m_sheet, m_options.m_seed);
        promise_watch watch(callers, m_platform.minions(), m_disruptions,
                            m_sheet);
        play(callers, balance);
        recover(callers, watch);
        add_violations(watch.stop());
        check(callers);
        return m_report;
    }

private:
    void start()
    {
        m_absent.insert(m_sheet.m_processes);
        for (int node = 0; node < m_sheet.m_processes; ++node)
        {
            m_nodes.start(node);
        }
        const instant end = node::boottime_now() + ready_timeout;
        for (int node = 0; node < m_sheet.m_processes; ++node)
        {
            while (!is_ready(m_nodes.readiness_address(node)) &&
                   node::boottime_now() < end)
            {
                sleep_for(step_time);
            }
        }
    }

    /// Plays the load with the planned work and the faults beside it.
    void play(deployment_callers& callers, balancer& balance)
    {
        std::unique_ptr<status_callers> askers = start_askers(balance);
        const std::vector<scheduled_work> work =
            plan_work(m_sheet, m_options.m_seed);
        std::atomic<bool> done = false;
        std::thread load(
            [&]
            {
                callers.play_load();
                done = true;
            });
        const instant begin = node::boottime_now();
        auto next = work.begin();
        while (!done)
        {
            while (next != work.end() &&
                   next->m_at <= node::boottime_now() - begin)
            {
                perform(*next++);
            }
            if (m_options.m_faults)
            {
                m_faults.advance();
            }
            restart_ended();
            sleep_for(step_time);
        }
        load.join();
        m_faults.stop();
        if (askers)
        {
            const status_calls calls = askers->stop();
            m_report.m_status_calls = calls.m_answered;
            add_violations(calls.m_unanswered);
        }
    }

    /// Starts the callers that ask all the time, if there are any.
    std::unique_ptr<status_callers> start_askers(balancer& balance)
    {
        if (m_options.m_faults || m_sheet.m_status_callers == 0)
        {
            return nullptr;
        }
        balanced_connection connection(m_nodes, balance, m_disruptions,
                                       m_record, m_options.m_seed);
        while (connection
                   .call(call_method::submit, "/q/" + asked_job, asked_job_body)
                   .m_status != status_ok)
        {
            wait(step_time);
        }
        return std::make_unique<status_callers>(m_nodes, balance, asked_job,
                                                m_sheet.m_status_callers,
                                                m_options.m_seed);
    }

    bool may_signal(int node) const
    {
        return m_nodes.is_running(node) && !m_nodes.is_terminating(node) &&
               !m_faults.holds(node);
    }

    void perform(const scheduled_work& work)
    {
        using kind = scheduled_work::kind;
        ++m_report.m_planned_work;
        switch (work.m_kind)
        {
        case kind::retire:
            m_absent.insert(work.m_subject);
            [[fallthrough]];
        case kind::terminate:
            if (may_signal(work.m_subject))
            {
                m_nodes.terminate(work.m_subject);
            }
            break;
        case kind::add_process:
            m_absent.erase(work.m_subject);
            m_nodes.start(work.m_subject);
            break;
        case kind::reload:
            if (may_signal(work.m_subject))
            {
                m_nodes.reload(work.m_subject);
            }
            break;
        case kind::configure:
            m_platform.write_configuration(++m_version, "key");
            break;
        case kind::drain_workers:
            for (int index = 0; index < work.m_subject; ++index)
            {
                m_platform.minions().drain_one(
                    static_cast<unsigned>(m_random()));
            }
            break;
        case kind::add_workers:
            for (int index = 0; index < work.m_subject; ++index)
            {
                m_platform.minions().add_one(static_cast<unsigned>(m_random()));
            }
            break;
        }
    }

    void restart_ended()
    {
        for (int node = 0; node < m_nodes.size(); ++node)
        {
            m_report.m_killed_after_grace +=
                m_nodes.kill_after_grace(node) ? 1 : 0;
            if (!m_absent.contains(node) && !m_faults.holds(node))
            {
                m_nodes.restart_if_ended(node);
            }
        }
    }

    /// Waits for a time while processes that end are started again.
    void wait(span time)
    {
        const instant end = node::boottime_now() + time;
        while (node::boottime_now() < end)
        {
            restart_ended();
            sleep_for(step_time);
        }
    }

    void recover(deployment_callers& callers, promise_watch& watch)
    {
        const instant begin = node::boottime_now();
        wait(m_sheet.m_finish_time);
        watch.set_finished();
        callers.ask_for_jobs(true);
        const instant end = node::boottime_now() + m_sheet.m_completion_time;
        while (node::boottime_now() < end && !all_ended(callers))
        {
            wait(recovery_poll);
            callers.ask_for_jobs(false);
        }
        m_report.m_time_to_completion = node::boottime_now() - begin;
    }

    static bool must_complete(const called_job& job)
    {
        return job.m_accepted_at && !job.m_cancel_sent_at &&
               !job.m_plan.m_persistent;
    }

    static bool all_ended(const deployment_callers& callers)
    {
        bool ended = true;
        callers.for_each_job(
            [&](const called_job& each)
            { ended = ended && (!must_complete(each) || each.has_ended()); });
        return ended;
    }

    void add_violations(const std::vector<std::string>& found)
    {
        m_report.m_violations.insert(m_report.m_violations.end(), found.begin(),
                                     found.end());
    }

    void check(const deployment_callers& callers)
    {
        add_violations(m_platform.minions().violations());
        m_report.m_calls = m_record.counts();
        add_violations(m_report.m_calls.m_unanswered);
        std::map<std::string, int> completed;
        for (const auto& [task, count] :
             m_platform.minions().completion_counts())
        {
            completed[task.substr(0, task.find('.'))] += count > 0 ? 1 : 0;
        }
        note_last_ends();
        callers.for_each_job(
            [&](const called_job& each)
            {
                count(each);
                check(each, completed[each.m_plan.m_id]);
            });
        m_report.m_faults = m_faults.count();
    }

    /// Notes when the last run of each job ended.
    void note_last_ends()
    {
        for (const stand_ins::run_event& each :
             m_platform.minions().snapshot(0).m_events)
        {
            if (each.m_outcome)
            {
                m_last_ends[each.m_task.substr(0, each.m_task.find('.'))] =
                    each.m_at;
            }
        }
    }

    /// Returns when the job's last run ended; empty if none did.
    std::optional<instant> last_end_of(const called_job& job) const
    {
        const auto found = m_last_ends.find(job.m_plan.m_id);
        return found == m_last_ends.end() ? std::nullopt
                                          : std::optional(found->second);
    }

    void count(const called_job& job)
    {
        ++m_report.m_jobs;
        m_report.m_accepted += job.m_accepted_at ? 1 : 0;
        m_report.m_cancelled +=
            job.m_accepted_at && job.m_cancel_sent_at ? 1 : 0;
        m_report.m_completed +=
            must_complete(job) && job.m_state == "completed" ? 1 : 0;
    }

    void check(const called_job& job, int completed_tasks)
    {
        check_reads(job);
        if (job.m_accepted_at && job.m_plan.m_persistent)
        {
            check_persistent(job);
        }
        else if (!job.m_cancel_sent_at)
        {
            observed_job seen;
            seen.m_id = job.m_plan.m_id + " of " +
                        m_sheet.m_kinds[job.m_plan.m_kind].m_queue;
            seen.m_accepted = job.m_accepted_at.has_value();
            seen.m_refused_only = job.m_refused_only;
            seen.m_tasks = job.m_plan.task_count();
            seen.m_state = job.m_state;
            seen.m_completed_tasks = completed_tasks;
            seen.m_started_tasks = job.m_refused_only
                                       ? m_platform.minions().start_count(
                                             job.m_plan.m_id + ".0.0.0")
                                       : 0;
            add_violations(job_violations(seen));
        }
    }

    /// An accepted job must be known from visible_time after its
    /// acknowledgement until the status retention after its end.
    void check_reads(const called_job& job)
    {
        bool forgotten = false;
        for (const std::vector<call_end>* reads :
             {&job.m_reads, &job.m_final_reads})
        {
            for (const call_end& each : *reads)
            {
                if (each.m_status != status_gone || job.m_cancel_sent_at ||
                    each.m_sent_at <= *job.m_accepted_at + visible_time)
                {
                    continue;
                }
                if (may_be_forgotten(job.has_ended(), last_end_of(job),
                                     each.m_ended_at,
                                     m_sheet.m_bounds.m_status_kept))
                {
                    forgotten = true;
                    continue;
                }
                m_report.m_violations.push_back(
                    "LOST: process " + std::to_string(each.m_process) +
                    " does not know the accepted job " + job.m_plan.m_id);
            }
        }
        m_report.m_forgotten += forgotten ? 1 : 0;
    }

    void check_persistent(const called_job& job)
    {
        for (int index = 0; index < job.m_plan.m_steps.front().m_tasks; ++index)
        {
            const std::string task =
                job.m_plan.m_id + ".0.0." + std::to_string(index);
            if (m_platform.minions().run_count(task) != 1)
            {
                m_report.m_violations.push_back(
                    "LOST: the persistent task " + task +
                    " does not work at the end, its job is " + job.m_state);
            }
        }
    }

    const deployment_run_options m_options;
    const deployment_sheet& m_sheet;
    stand_ins::platform_stand_in m_platform;
    link_list m_links;
    deployment m_nodes;
    disruption_record m_disruptions;
    call_record m_record;
    fault_series m_faults;
    std::mt19937 m_random;
    /// When the last run of a job ended, by the id of the job.
    std::map<std::string, instant> m_last_ends;
    int m_version = 1;
    /// Processes that are not started: removed, or not added yet.
    std::set<int> m_absent;
    deployment_run_report m_report;
};

} // namespace

deployment_run_report run_deployment(const deployment_run_options& options)
{
    return deployment_run(options).run();
}

} // namespace kingcuprudder::soak
