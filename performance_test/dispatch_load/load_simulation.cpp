#include <performance_test/dispatch_load/load_evaluation.hpp>
#include <performance_test/dispatch_load/load_simulation.hpp>
#include <performance_test/dispatch_load/simulation_times.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr double remote_slowdown = 3;
constexpr int crash_budget = 3;

} // namespace

load_simulation::load_simulation(const load_profile& profile, unsigned seed)
    : m_profile(profile), m_generator(m_profile, seed),
      m_faults(m_profile, seed),
      m_dispatcher(dispatch_limits(), [](const std::string&, const std::string&,
                                         const decision_fields&) {})
{
    configure();
    add_workers();
}

load_outcome load_simulation::run()
{
    m_dispatcher.begin_term(m_now, 1);
    const instant end = m_now + m_profile.m_duration + drain_time;
    const instant traffic_end = m_now + m_profile.m_duration;
    const instant began = m_now;
    while (m_now < end)
    {
        if (m_now < traffic_end)
        {
            generate_arrivals(m_now - began);
        }
        apply_faults(m_now - began);
        work();
        report();
        decide();
        store();
        m_now = m_now + tick;
    }
    evaluate(m_profile, m_jobs, m_now, m_outcome);
    return m_outcome;
}

void load_simulation::configure()
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
        configuration.m_accounts.push_back(
            {"a" + std::to_string(account), {}, m_profile.m_guaranteed_gpus});
    }
    m_configuration = configuration;
    m_dispatcher.configure(configuration);
}

void load_simulation::add_workers()
{
    for (int index = 0; index < m_profile.m_workers; ++index)
    {
        m_ids.push_back("w" + std::to_string(index));
        add_worker(index, m_ids.back(), 1);
    }
}

simulated_worker& load_simulation::add_worker(int index, const std::string& id,
                                              std::int64_t incarnation)
{
    const int zones = static_cast<int>(m_profile.m_zone_slowdown.size());
    const int per_zone = m_profile.m_workers / zones;
    const int zone = std::min(zones - 1, index / per_zone);
    simulated_worker worker;
    worker.m_index = index;
    worker.m_description.m_id = id;
    worker.m_description.m_pool = "pool";
    worker.m_description.m_address = "10.0.0.1:" + std::to_string(index + 1);
    worker.m_description.m_zone = "z" + std::to_string(zone);
    worker.m_description.m_capacity = m_profile.m_worker;
    worker.m_description.m_rack =
        "r" + std::to_string(index / m_profile.m_workers_per_rack);
    worker.m_description.m_labels = {"a", worker.m_description.m_rack};
    worker.m_description.m_incarnation = incarnation;
    worker.m_slowdown = m_profile.m_zone_slowdown[zone];
    worker.m_renewed_at = m_now;
    m_dispatcher.worker_listed(worker.m_description, m_now);
    m_ids[static_cast<std::size_t>(index)] = id;
    return m_workers[id] = worker;
}

void load_simulation::generate_arrivals(span since)
{
    for (const load_class& each : m_profile.m_classes)
    {
        if (m_generator.has_arrival(each, since, tick))
        {
            submit(each);
        }
    }
}

void load_simulation::submit(const load_class& kind)
{
    simulated_job job = m_generator.next(
        kind, m_configuration.queue_named(kind.m_name)->m_policy,
        "j" + std::to_string(m_jobs.size()), m_now);
    const job_submission& submission = job.m_submission;
    job.m_guaranteed = kind.m_priority == 0 && within_guarantee(submission);
    if (kind.m_priority == 0 && !job.m_guaranteed)
    {
        revoke_guarantees(submission.m_account);
    }
    m_dispatcher.add_job(submission, std::nullopt, 1, m_now, m_now);
    m_jobs[submission.m_id] = job;
}

bool load_simulation::within_guarantee(const job_submission& next) const
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

void load_simulation::revoke_guarantees(const std::string& account)
{
    for (auto& [id, job] : m_jobs)
    {
        if (job.m_submission.m_account == account && !job.m_started_at)
        {
            job.m_guaranteed = false;
        }
    }
}

const job_step& load_simulation::step_of(const task_ref& ref) const
{
    return m_jobs.at(ref.m_job).m_submission.m_steps[ref.m_step];
}

double load_simulation::slowdown(const simulated_worker& worker,
                                 const simulated_run& run)
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
    const auto key = std::pair(run.m_ref.m_task.step_str(), run.m_ref.m_run);
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

void load_simulation::find_gangs()
{
    m_gangs.clear();
    for (auto& [id, worker] : m_workers)
    {
        for (const simulated_run& run : worker.m_runs)
        {
            m_gangs[{run.m_ref.m_task.step_str(), run.m_ref.m_run}].push_back(
                id);
        }
    }
}

void load_simulation::work()
{
    find_gangs();
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

void load_simulation::end_run(simulated_worker& worker, std::size_t at,
                              run_outcome how)
{
    const simulated_run run = worker.m_runs[at];
    worker.m_runs.erase(worker.m_runs.begin() +
                        static_cast<std::ptrdiff_t>(at));
    std::string checkpoint;
    if (how != run_outcome::done)
    {
        double kept = 0;
        if (step_of(run.m_ref.m_task).m_writes_checkpoints)
        {
            kept = run.m_work_done_ms;
            checkpoint = std::to_string(run.m_work_done_ms);
        }
        const double before = m_outcome.m_lost_core_seconds;
        count_lost_work(run, kept);
        if (m_crashed_gangs.contains(
                {run.m_ref.m_task.step_str(), run.m_ref.m_run}))
        {
            m_outcome.m_crashes.m_lost_core_seconds +=
                m_outcome.m_lost_core_seconds - before;
        }
        ++m_outcome.m_stopped_runs;
    }
    worker.m_ended.push_back({++worker.m_last_end, run.m_ref.m_task.str(),
                              run.m_ref.m_run, how, checkpoint});
    if (worker.is_silent(m_now))
    {
        worker.m_unseen_ends.insert(worker.m_last_end);
    }
    worker.m_report_due = true;
}

void load_simulation::count_lost_work(const simulated_run& run, double kept_ms)
{
    const double elapsed =
        static_cast<double>((m_now - run.m_started_at).count());
    const double before =
        std::atof(m_started_from[run.m_ref.m_task.str()].c_str());
    const double gained = std::max(0.0, kept_ms - before);
    m_outcome.m_lost_core_seconds +=
        std::max(0.0, elapsed - gained) / 1000 *
        core_weight(step_of(run.m_ref.m_task).m_demand);
}

void load_simulation::report()
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
        if (!worker.is_silent(m_now))
        {
            report_of(worker, request);
        }
        else if (request.m_needed)
        {
            fail_renewal(worker);
        }
    }
}

void load_simulation::report_of(simulated_worker& worker,
                                const renewal_request& request)
{
    std::erase_if(worker.m_ended, [&](const completion_report& end)
                  { return end.m_number <= request.m_acknowledged; });
    if (!worker.m_report_due && worker.m_next_report > m_now)
    {
        return;
    }
    worker.m_report_due = false;
    worker.m_next_report = m_now + report_interval;
    worker.m_renewed_at = m_now;
    worker_report report;
    report.m_incarnation = worker.m_description.m_incarnation;
    report.m_clock = m_now.count();
    report.m_fence = m_dispatcher.fence();
    for (simulated_run& run : worker.m_runs)
    {
        report.m_running.push_back(running_report_of(run));
    }
    report.m_ended = worker.m_ended;
    note_completions(worker);
    m_dispatcher.renewal_sent(request.m_worker, m_now - call_time);
    m_dispatcher.renewal_answered(request.m_worker, report, m_now - call_time,
                                  m_now);
}

running_report load_simulation::running_report_of(simulated_run& run) const
{
    const double needed =
        m_jobs.at(run.m_ref.m_task.m_job).m_work_ms[run.m_ref.m_task.m_step];
    std::string checkpoint;
    if (step_of(run.m_ref.m_task).m_writes_checkpoints)
    {
        const auto interval = static_cast<double>(checkpoint_interval.count());
        run.m_reported_work_ms =
            std::floor(run.m_work_done_ms / interval) * interval;
        checkpoint = std::to_string(run.m_reported_work_ms);
    }
    return {run.m_ref.m_task.str(), run.m_ref.m_run, checkpoint,
            static_cast<int>(100 * run.m_work_done_ms / needed)};
}

void load_simulation::note_completions(simulated_worker& worker)
{
    for (const completion_report& end : worker.m_ended)
    {
        // The scheduler may start a task again whose completion it cannot know.
        if (end.m_number > worker.m_last_reported_end &&
            end.m_outcome == run_outcome::done &&
            !worker.m_unseen_ends.contains(end.m_number) &&
            !m_done.insert(end.m_task).second)
        {
            ++m_outcome.m_violations;
        }
    }
    worker.m_last_reported_end = worker.m_last_end;
}

void load_simulation::fail_renewal(simulated_worker& worker)
{
    if (worker.m_next_report <= m_now)
    {
        worker.m_next_report = m_now + poll_interval;
        m_dispatcher.renewal_failed(worker.m_description.m_id,
                                    {order_outcome::may_have_arrived,
                                     worker.m_closed_connections
                                         ? call_failure::connection_closed
                                         : call_failure::timed_out},
                                    m_now);
    }
}

void load_simulation::decide()
{
    answer_overdue_starts();
    if (m_dispatcher.fence() < m_dispatcher.required_fence())
    {
        m_dispatcher.fence_raised(m_dispatcher.required_fence());
    }
    const auto began = std::chrono::steady_clock::now();
    m_dispatcher.plan(m_now, m_now);
    const dispatch_effects effects = m_dispatcher.collect_orders(m_now);
    const std::chrono::duration<double> taken =
        std::chrono::steady_clock::now() - began;
    m_outcome.m_decision_seconds += taken.count();
    for (const stop_order& order : effects.m_stops)
    {
        stop(order);
    }
    for (const start_order& order : effects.m_starts)
    {
        send(order);
    }
}

void load_simulation::stop(const stop_order& order)
{
    simulated_worker& worker = m_workers.at(order.m_worker);
    if (worker.is_silent(m_now))
    {
        m_dispatcher.stop_finished(order, order_outcome::not_sent, m_now);
        return;
    }
    for (simulated_run& run : worker.m_runs)
    {
        if (run.m_ref == order.m_run && !run.m_stop_at)
        {
            run.m_stop_at = m_now + stop_time;
        }
    }
    m_dispatcher.stop_finished(order, order_outcome::accepted, m_now);
}

void load_simulation::send(const start_order& order)
{
    simulated_worker& worker = m_workers.at(order.m_worker);
    if (!worker.is_silent(m_now))
    {
        start(worker, order);
        m_dispatcher.start_finished(order, order_outcome::accepted, m_now);
    }
    else if (worker.m_crashed && worker.m_refuses_from <= m_now)
    {
        m_dispatcher.start_finished(order, order_outcome::not_sent, m_now);
    }
    else
    {
        m_unanswered_starts.push_back({m_now + call_timeout, order});
    }
}

void load_simulation::answer_overdue_starts()
{
    for (const unanswered_start& each : m_unanswered_starts)
    {
        if (each.m_until <= m_now)
        {
            m_dispatcher.start_finished(each.m_order,
                                        order_outcome::may_have_arrived, m_now);
        }
    }
    std::erase_if(m_unanswered_starts, [this](const unanswered_start& each)
                  { return each.m_until <= m_now; });
}

void load_simulation::start(simulated_worker& worker, const start_order& order)
{
    simulated_run run;
    run.m_ref = order.m_run;
    run.m_started_at = m_now;
    run.m_work_done_ms = std::atof(order.m_checkpoint.c_str());
    run.m_reported_work_ms = run.m_work_done_ms;
    m_started_from[order.m_run.m_task.str()] = order.m_checkpoint;
    simulated_job& job = m_jobs.at(order.m_run.m_task.m_job);
    prepare_crash(job, run);
    worker.m_runs.push_back(run);
    worker.m_renewed_at = m_now;
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
    if (!job.m_started_at)
    {
        job.m_started_at = m_now;
    }
}

void load_simulation::prepare_crash(simulated_job& job, simulated_run& run)
{
    if (job.m_crashing_task != run.m_ref.m_task.m_index)
    {
        return;
    }
    run.m_crash_at = m_now + crash_delay;
    if (job.m_crashes >= crash_budget &&
        ++job.m_starts_after_third_crash == crash_budget)
    {
        ++m_outcome.m_crashes.m_exceeded_budgets;
        ++m_outcome.m_violations;
    }
}

void load_simulation::store()
{
    constexpr std::size_t entries = 31;
    for (const job_write& write : m_dispatcher.take_writes(entries))
    {
        simulated_job& job = m_jobs.at(write.m_job);
        if (is_final(write.m_progress.m_state) && !job.m_ended)
        {
            job.m_ended = m_now;
            job.m_completed = write.m_progress.m_state == job_state::completed;
        }
        m_dispatcher.write_stored(write.m_job, write.m_version, ++m_revision);
    }
}

} // namespace kingcuprudder::dispatch
