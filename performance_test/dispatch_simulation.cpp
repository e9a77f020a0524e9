#include <performance_test/dispatch_simulation.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <queue>
#include <set>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr double cores_per_gpu = 8;
constexpr span tick = span(10);
constexpr span call_time = span(4);
constexpr span report_interval = span(1500);
constexpr span stop_time = span(250);
constexpr span checkpoint_interval = span(500);
constexpr span drain_time = span::seconds(30);
constexpr double remote_slowdown = 3;
constexpr int late_factor = 3;
constexpr span burst_start = span::seconds(6);
constexpr span burst_length = span::seconds(6);

double core_weight(const resources& demand)
{
    return static_cast<double>(demand.m_cpu_millis) / 1000 +
           cores_per_gpu * static_cast<double>(demand.m_gpus);
}

/// A run on a simulated worker.
struct simulated_run
{
    run_ref m_ref;
    /// Work done, in milliseconds of a worker at normal speed.
    double m_work_done_ms = 0;
    instant m_started_at;
    std::optional<instant> m_stop_at;
};

struct simulated_worker
{
    worker_description m_description;
    double m_slowdown = 1;
    std::vector<simulated_run> m_runs;
    std::vector<completion_report> m_ended;
    std::int64_t m_last_end = 0;
    instant m_next_report;
    bool m_report_due = true;
};

struct simulated_job
{
    job_submission m_submission;
    const load_class* m_class = nullptr;
    std::vector<double> m_work_ms; ///< By step.
    double m_value = 0;
    bool m_guaranteed = false;
    std::optional<instant> m_started_at;
    std::optional<instant> m_ended;
    bool m_completed = false;
};

/// Simulates the deployment in virtual time.
class simulation
{
public:
    simulation(const load_profile& profile, unsigned seed)
        : m_profile(profile), m_generator(seed),
          m_dispatcher(dispatch_limits(),
                       [](const std::string&, const std::string&,
                          const decision_fields&) {})
    {
        configure();
        add_workers();
    }

    load_outcome run()
    {
        m_dispatcher.begin_term(m_now);
        const instant end = m_now + m_profile.m_duration + drain_time;
        const instant traffic_end = m_now + m_profile.m_duration;
        const instant began = m_now;
        while (m_now < end)
        {
            if (m_now < traffic_end)
            {
                generate_arrivals(m_now - began);
            }
            work();
            report();
            decide();
            store();
            m_now = m_now + tick;
        }
        return evaluate();
    }

private:
    void configure()
    {
        service_configuration configuration;
        configuration.m_version = 1;
        configuration.m_pools.push_back({"pool", false, false});
        for (const load_class& each : m_profile.m_classes)
        {
            queue_configuration queue;
            queue.m_name = each.m_name;
            queue.m_policy.m_pool = "pool";
            queue.m_policy.m_priority = each.m_priority;
            queue.m_policy.m_max_attempts = each.m_max_attempts;
            queue.m_policy.m_stretch = each.m_stretch;
            queue.m_policy.m_start_allowance = each.m_start_allowance;
            configuration.m_queues.push_back(queue);
        }
        for (int account = 0; account < m_profile.m_accounts; ++account)
        {
            configuration.m_accounts.push_back({"a" + std::to_string(account),
                                                {},
                                                m_profile.m_guaranteed_gpus});
        }
        m_configuration = configuration;
        m_dispatcher.configure(configuration);
    }

    void add_workers()
    {
        const int zones = static_cast<int>(m_profile.m_zone_slowdown.size());
        const int per_zone = m_profile.m_workers / zones;
        for (int index = 0; index < m_profile.m_workers; ++index)
        {
            const int zone = std::min(zones - 1, index / per_zone);
            simulated_worker worker;
            worker.m_description.m_id = "w" + std::to_string(index);
            worker.m_description.m_pool = "pool";
            worker.m_description.m_address = "10.0.0.1:1";
            worker.m_description.m_zone = "z" + std::to_string(zone);
            worker.m_description.m_capacity = m_profile.m_worker;
            worker.m_description.m_rack =
                "r" + std::to_string(index / m_profile.m_workers_per_rack);
            worker.m_description.m_labels = {"a", worker.m_description.m_rack};
            worker.m_description.m_incarnation = 1;
            worker.m_slowdown = m_profile.m_zone_slowdown[zone];
            m_dispatcher.worker_listed(worker.m_description, m_now);
            m_workers[worker.m_description.m_id] = worker;
        }
    }

    double uniform(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(m_generator);
    }

    /// Draws from the log-normal distribution with this mean and relative
    /// spread.
    double lognormal(double mean, double spread)
    {
        const double sigma = std::sqrt(std::log(1 + spread * spread));
        std::lognormal_distribution<double> draw(
            std::log(mean) - sigma * sigma / 2, sigma);
        return draw(m_generator);
    }

    void generate_arrivals(span since)
    {
        for (const load_class& each : m_profile.m_classes)
        {
            const bool burst = each.m_priority == 0 && since >= burst_start &&
                               since < burst_start + burst_length;
            const double rate = each.m_per_second * m_profile.m_load *
                                (burst ? m_profile.m_burst_factor : 1);
            const double expected =
                rate * static_cast<double>(tick.count()) / 1000;
            if (uniform(0, 1) < expected)
            {
                submit(each);
            }
        }
    }

    void submit(const load_class& kind)
    {
        constexpr double width_spread = 0.8;
        simulated_job job;
        job.m_class = &kind;
        job_submission& submission = job.m_submission;
        submission.m_id = "j" + std::to_string(m_jobs.size());
        submission.m_queue = kind.m_name;
        submission.m_account =
            "a" + std::to_string(m_generator() % m_profile.m_accounts);
        submission.m_policy =
            m_configuration.queue_named(kind.m_name)->m_policy;
        submission.m_accepted_at = m_now;
        job_step step;
        step.m_count = static_cast<int>(
            std::clamp(std::round(lognormal(kind.m_width, width_spread)), 1.0,
                       kind.m_max_width));
        step.m_demand = kind.m_per_task;
        step.m_demand.m_gpus = kind.m_gpus[m_generator() % kind.m_gpus.size()];
        const double work = lognormal(kind.m_work_ms, kind.m_work_spread);
        job.m_work_ms.push_back(work);
        step.m_estimate = span(static_cast<std::int64_t>(
            work *
            uniform(1 - kind.m_estimate_error, 1 + kind.m_estimate_error)));
        step.m_gang = kind.m_gang;
        step.m_same_rack =
            kind.m_gang && uniform(0, 1) < kind.m_same_rack_share;
        step.m_writes_checkpoints = uniform(0, 1) < kind.m_checkpoint_share;
        const int racks = m_profile.m_workers / m_profile.m_workers_per_rack;
        if (uniform(0, 1) < kind.m_data_rack_share)
        {
            step.m_data_rack = "r" + std::to_string(m_generator() % racks);
        }
        submission.m_steps.push_back(step);
        const double mean_work =
            kind.m_width * kind.m_work_ms * core_weight(mean_demand(kind));
        const double own_work =
            step.m_count * work * core_weight(step.m_demand);
        job.m_value =
            kind.m_credit * std::min(4.0, 0.3 + 0.7 * own_work / mean_work);
        job.m_guaranteed = kind.m_priority == 0 && within_guarantee(submission);
        if (kind.m_priority == 0 && !job.m_guaranteed)
        {
            revoke_guarantees(submission.m_account);
        }
        m_jobs[submission.m_id] = job;
        m_dispatcher.add_job(submission, std::nullopt, 1, m_now, m_now);
    }

    static resources mean_demand(const load_class& kind)
    {
        resources demand = kind.m_per_task;
        std::int64_t sum = 0;
        for (const int gpus : kind.m_gpus)
        {
            sum += gpus;
        }
        demand.m_gpus = sum / static_cast<std::int64_t>(kind.m_gpus.size());
        return demand;
    }

    bool within_guarantee(const job_submission& next) const
    {
        std::int64_t needed = 0;
        const auto add = [&needed](const job_submission& job)
        {
            for (const job_step& step : job.m_steps)
            {
                needed += step.m_demand.m_gpus * step.m_count;
            }
        };
        add(next);
        for (const auto& [id, job] : m_jobs)
        {
            if (!job.m_ended && job.m_class->m_priority == 0 &&
                job.m_submission.m_account == next.m_account)
            {
                add(job.m_submission);
            }
        }
        return needed <= m_profile.m_guaranteed_gpus;
    }

    /// Revokes the guarantee of the account's jobs that have not started, as
    /// its urgent jobs exceed the guaranteed GPUs.
    void revoke_guarantees(const std::string& account)
    {
        for (auto& [id, job] : m_jobs)
        {
            if (job.m_submission.m_account == account && !job.m_started_at)
            {
                job.m_guaranteed = false;
            }
        }
    }

    const job_step& step_of(const task_ref& ref) const
    {
        return m_jobs.at(ref.m_job).m_submission.m_steps[ref.m_step];
    }

    /// Returns the slowdown of a run relative to a normal worker in the rack of
    /// its data; 0 for a member of an incomplete gang, which makes no progress.
    double slowdown(const simulated_worker& worker, const simulated_run& run)
    {
        const job_step& step = step_of(run.m_ref.m_task);
        double factor = worker.m_slowdown;
        if (!step.m_data_rack.empty() &&
            step.m_data_rack != worker.m_description.m_rack)
        {
            factor *= remote_slowdown;
        }
        if (!step.m_gang)
        {
            return factor;
        }
        const auto key =
            std::pair(run.m_ref.m_task.step_str(), run.m_ref.m_run);
        const auto& members = m_gangs[key];
        if (static_cast<int>(members.size()) < step.m_count)
        {
            return 0;
        }
        std::set<std::string> racks;
        for (const std::string& member : members)
        {
            racks.insert(m_workers.at(member).m_description.m_rack);
            factor = std::max(factor, m_workers.at(member).m_slowdown);
        }
        return step.m_same_rack && racks.size() > 1 ? factor * remote_slowdown
                                                    : factor;
    }

    void work()
    {
        m_gangs.clear();
        for (auto& [id, worker] : m_workers)
        {
            for (const simulated_run& run : worker.m_runs)
            {
                m_gangs[{run.m_ref.m_task.step_str(), run.m_ref.m_run}]
                    .push_back(id);
            }
        }
        for (auto& [id, worker] : m_workers)
        {
            for (std::size_t at = 0; at < worker.m_runs.size();)
            {
                simulated_run& run = worker.m_runs[at];
                const double factor = slowdown(worker, run);
                if (factor > 0)
                {
                    run.m_work_done_ms +=
                        static_cast<double>(tick.count()) / factor;
                }
                const double needed = m_jobs.at(run.m_ref.m_task.m_job)
                                          .m_work_ms[run.m_ref.m_task.m_step];
                if (run.m_work_done_ms >= needed)
                {
                    end_run(worker, at, run_outcome::done);
                }
                else if (run.m_stop_at && *run.m_stop_at <= m_now)
                {
                    end_run(worker, at, run_outcome::stopped);
                }
                else
                {
                    ++at;
                }
            }
        }
    }

    void end_run(simulated_worker& worker, std::size_t at, run_outcome how)
    {
        const simulated_run run = worker.m_runs[at];
        const job_step& step = step_of(run.m_ref.m_task);
        worker.m_runs.erase(worker.m_runs.begin() +
                            static_cast<std::ptrdiff_t>(at));
        const std::string name = run.m_ref.m_task.str();
        std::string checkpoint;
        double kept = 0;
        if (how != run_outcome::done)
        {
            if (step.m_writes_checkpoints)
            {
                kept = run.m_work_done_ms;
                checkpoint = std::to_string(run.m_work_done_ms);
            }
            const double lost_ms =
                static_cast<double>((m_now - run.m_started_at).count());
            const double gained =
                std::max(0.0, kept - std::atof(m_started_from[name].c_str()));
            m_outcome.m_lost_core_seconds += std::max(0.0, lost_ms - gained) /
                                             1000 * core_weight(step.m_demand);
            ++m_outcome.m_stopped_runs;
        }
        else if (!m_done.insert(name).second)
        {
            ++m_outcome.m_violations;
        }
        worker.m_ended.push_back(
            {++worker.m_last_end, name, run.m_ref.m_run, how, checkpoint});
        worker.m_report_due = true;
    }

    void report()
    {
        for (const renewal_request& changed : m_dispatcher.changed_renewals())
        {
            m_renewals[changed.m_worker] = changed;
        }
        for (const auto& known : m_renewals)
        {
            const renewal_request& request = known.second;
            if (request.m_address.empty())
            {
                continue;
            }
            simulated_worker& worker = m_workers.at(request.m_worker);
            std::erase_if(worker.m_ended, [&](const completion_report& end)
                          { return end.m_number <= request.m_acknowledged; });
            if (!worker.m_report_due && worker.m_next_report > m_now)
            {
                continue;
            }
            worker.m_report_due = false;
            worker.m_next_report = m_now + report_interval;
            worker_report report;
            report.m_incarnation = 1;
            report.m_clock = m_now.count();
            for (const simulated_run& run : worker.m_runs)
            {
                const double needed = m_jobs.at(run.m_ref.m_task.m_job)
                                          .m_work_ms[run.m_ref.m_task.m_step];
                report.m_running.push_back(
                    {run.m_ref.m_task.str(), run.m_ref.m_run,
                     step_of(run.m_ref.m_task).m_writes_checkpoints
                         ? std::to_string(
                               std::floor(run.m_work_done_ms /
                                          static_cast<double>(
                                              checkpoint_interval.count())) *
                               static_cast<double>(checkpoint_interval.count()))
                         : "",
                     static_cast<int>(100 * run.m_work_done_ms / needed)});
            }
            report.m_ended = worker.m_ended;
            m_dispatcher.renewal_sent(request.m_worker, m_now - call_time);
            m_dispatcher.renewal_answered(request.m_worker, report,
                                          m_now - call_time, m_now);
        }
    }

    void decide()
    {
        const auto began = std::chrono::steady_clock::now();
        m_dispatcher.plan(m_now, m_now);
        const dispatch_effects effects = m_dispatcher.collect_orders(m_now);
        const std::chrono::duration<double> taken =
            std::chrono::steady_clock::now() - began;
        m_outcome.m_decision_seconds += taken.count();
        for (const stop_order& order : effects.m_stops)
        {
            for (simulated_run& run : m_workers.at(order.m_worker).m_runs)
            {
                if (run.m_ref == order.m_run && !run.m_stop_at)
                {
                    run.m_stop_at = m_now + stop_time;
                }
            }
            m_dispatcher.stop_finished(order, order_outcome::accepted, m_now);
        }
        for (const start_order& order : effects.m_starts)
        {
            start(order);
            m_dispatcher.start_finished(order, order_outcome::accepted, m_now);
        }
    }

    void start(const start_order& order)
    {
        simulated_worker& worker = m_workers.at(order.m_worker);
        simulated_run run;
        run.m_ref = order.m_run;
        run.m_started_at = m_now;
        run.m_work_done_ms = std::atof(order.m_checkpoint.c_str());
        m_started_from[order.m_run.m_task.str()] = order.m_checkpoint;
        worker.m_runs.push_back(run);
        ++m_outcome.m_runs;
        resources used;
        for (const simulated_run& each : worker.m_runs)
        {
            used += step_of(each.m_ref.m_task).m_demand;
        }
        if (!worker.m_description.m_capacity.covers(used))
        {
            ++m_outcome.m_violations;
        }
        simulated_job& job = m_jobs.at(order.m_run.m_task.m_job);
        if (!job.m_started_at)
        {
            job.m_started_at = m_now;
        }
    }

    void store()
    {
        constexpr std::size_t entries = 31;
        for (const job_write& write : m_dispatcher.take_writes(entries))
        {
            simulated_job& job = m_jobs.at(write.m_job);
            if (is_final(write.m_progress.m_state) && !job.m_ended)
            {
                job.m_ended = m_now;
                job.m_completed =
                    write.m_progress.m_state == job_state::completed;
            }
            m_dispatcher.write_stored(write.m_job, write.m_version,
                                      ++m_revision);
        }
    }

    load_outcome evaluate()
    {
        for (const auto& [id, job] : m_jobs)
        {
            load_outcome::per_class& sum =
                m_outcome.m_classes[job.m_class->m_name];
            ++sum.m_jobs;
            sum.m_credit_owed += job.m_value;
            const double objective =
                job.m_class->m_stretch * job.m_work_ms.front() +
                static_cast<double>(job.m_class->m_start_allowance.count());
            if (job.m_ended && job.m_completed)
            {
                const auto took = static_cast<double>(
                    (*job.m_ended - job.m_submission.m_accepted_at).count());
                if (took <= objective)
                {
                    ++sum.m_in_time;
                    sum.m_credit_earned += job.m_value;
                }
                else if (took <= objective * late_factor)
                {
                    ++sum.m_late;
                    sum.m_credit_earned += job.m_value *
                                           job.m_class->m_late_credit /
                                           job.m_class->m_credit;
                }
            }
            if (job.m_guaranteed)
            {
                const span wait = job.m_started_at.value_or(m_now) -
                                  job.m_submission.m_accepted_at;
                m_outcome.m_late_reclaims +=
                    wait > dispatch_limits().m_reclaim_bound ? 1 : 0;
            }
        }
        for (const auto& [name, sum] : m_outcome.m_classes)
        {
            m_outcome.m_credit_owed += sum.m_credit_owed;
            m_outcome.m_credit_earned += sum.m_credit_earned;
        }
        m_outcome.m_net_credit_ratio =
            (m_outcome.m_credit_earned -
             m_outcome.m_lost_core_seconds * m_profile.m_lost_work_price) /
            m_outcome.m_credit_owed;
        return m_outcome;
    }

    load_profile m_profile;
    std::mt19937 m_generator;
    dispatcher m_dispatcher;
    service_configuration m_configuration;
    instant m_now = instant(1'000'000);
    std::int64_t m_revision = 1;
    std::map<std::string, simulated_worker> m_workers;
    /// The last renewal request for each worker.
    std::map<std::string, renewal_request> m_renewals;
    std::map<std::string, simulated_job> m_jobs;
    std::map<std::pair<std::string, int>, std::vector<std::string>> m_gangs;
    std::map<std::string, std::string> m_started_from;
    std::set<std::string> m_done;
    load_outcome m_outcome;
};

load_class urgent_class(const std::string& name, double rate, double width,
                        double max_width, resources demand, double error)
{
    load_class kind;
    kind.m_name = name;
    kind.m_per_second = rate;
    kind.m_priority = 0;
    kind.m_credit = 4;
    kind.m_late_credit = 0.8;
    kind.m_stretch = 1.5;
    kind.m_start_allowance = span(250);
    kind.m_work_ms = 2500;
    kind.m_work_spread = 0.5;
    kind.m_estimate_error = error;
    kind.m_width = width;
    kind.m_max_width = max_width;
    kind.m_per_task = demand;
    kind.m_gpus = {1, 2, 4, 8, 8};
    kind.m_gang = true;
    kind.m_same_rack_share = 0.8;
    return kind;
}

load_class planning_class(const std::string& name, double rate, double late,
                          double work, double error, double width,
                          double max_width, resources demand, int attempts)
{
    load_class kind;
    kind.m_name = name;
    kind.m_per_second = rate;
    kind.m_priority = 1;
    kind.m_credit = 3;
    kind.m_late_credit = late;
    kind.m_stretch = 3;
    kind.m_start_allowance = span(1000);
    kind.m_max_attempts = attempts;
    kind.m_work_ms = work;
    kind.m_estimate_error = error;
    kind.m_width = width;
    kind.m_max_width = max_width;
    kind.m_per_task = demand;
    kind.m_gpus = {1, 2, 4, 8, 8};
    kind.m_gang = true;
    kind.m_same_rack_share = 0.6;
    kind.m_checkpoint_share = 0.45;
    return kind;
}

load_class background_class(const std::string& name, double rate, double late,
                            double error, double width, double max_width,
                            resources demand)
{
    load_class kind;
    kind.m_name = name;
    kind.m_per_second = rate;
    kind.m_priority = 2;
    kind.m_credit = 1;
    kind.m_late_credit = late;
    kind.m_stretch = 3;
    kind.m_start_allowance = span(3000);
    kind.m_max_attempts = 4;
    kind.m_work_ms = 9500;
    kind.m_estimate_error = error;
    kind.m_width = width;
    kind.m_max_width = max_width;
    kind.m_per_task = demand;
    kind.m_gpus = {1};
    kind.m_data_rack_share = 0.15;
    kind.m_checkpoint_share = 0.45;
    return kind;
}

} // namespace

load_profile kovacsmuhely_profile()
{
    load_profile profile;
    profile.m_name = "kovacsmuhely";
    profile.m_worker = {64'000, 262'144, 8};
    profile.m_zone_slowdown = {1.0, 1.0, 1.3};
    profile.m_lost_work_price = 0.0019;
    profile.m_classes = {
        planning_class("roster-plan", 0.628, 0.3, 8500, 0.9, 5, 30,
                       {26'000, 110'000, 0}, 2),
        urgent_class("seat-confirm", 2.38, 3.4, 21, {7'500, 31'000, 0}, 0.2),
        background_class("stock-check", 0.472, 0.1, 0.2, 16, 94,
                         {5'600, 16'000, 0})};
    return profile;
}

load_profile etikettwerk_profile()
{
    load_profile profile;
    profile.m_name = "etikettwerk";
    profile.m_worker = {128'000, 262'144, 8};
    profile.m_zone_slowdown = {1.0, 1.0, 1.3};
    profile.m_lost_work_price = 0.0011;
    profile.m_classes = {
        planning_class("recipe-panel", 0.687, 0.9, 9500, 0.2, 4, 24,
                       {52'000, 110'000, 0}, 4),
        urgent_class("allergen-check", 1.92, 3, 18, {15'000, 22'000, 0}, 0.5),
        background_class("batch-recalc", 0.681, 0.3, 0.9, 12, 72,
                         {11'000, 23'000, 0})};
    return profile;
}

load_profile grown(load_profile profile, const std::vector<double>& rates,
                   const std::vector<double>& widths, int workers_per_rack)
{
    profile.m_name += "-grown";
    profile.m_workers = 350;
    profile.m_workers_per_rack = workers_per_rack;
    profile.m_accounts = 10;
    profile.m_guaranteed_gpus = 170;
    for (std::size_t kind = 0; kind < profile.m_classes.size(); ++kind)
    {
        load_class& each = profile.m_classes[kind];
        each.m_max_width *= widths[kind] / each.m_width;
        each.m_width = widths[kind];
        each.m_per_second = rates[kind];
    }
    return profile;
}

load_profile kovacsmuhely_grown_profile()
{
    return grown(kovacsmuhely_profile(), {2.07, 11, 1.63}, {13, 5, 39}, 12);
}

load_profile etikettwerk_grown_profile()
{
    return grown(etikettwerk_profile(), {2.96, 13.8, 2.92}, {10, 5, 30}, 20);
}

load_profile kovacsmuhely_large_profile()
{
    load_profile profile =
        grown(kovacsmuhely_profile(), {4.29, 17.2, 2.7}, {13, 5, 38}, 12);
    profile.m_name = "kovacsmuhely-large";
    profile.m_workers = 540;
    profile.m_accounts = 24;
    profile.m_classes[0].m_work_ms = 6800;
    return profile;
}

load_outcome simulate_load(const load_profile& profile, unsigned seed)
{
    return simulation(profile, seed).run();
}

} // namespace kingcuprudder::dispatch
