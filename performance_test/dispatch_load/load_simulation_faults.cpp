#include <performance_test/dispatch_load/load_simulation.hpp>
#include <performance_test/dispatch_load/simulation_times.hpp>

namespace kingcuprudder::dispatch
{

void load_simulation::apply_faults(span since)
{
    replace_workers();
    lapse_leases();
    if (since < m_profile.m_duration)
    {
        for (const worker_fault& fault : m_faults.next(since, tick))
        {
            simulated_worker& worker = process_of(fault.m_worker);
            if (worker.m_crashed)
            {
                continue;
            }
            if (fault.m_crashes)
            {
                ++m_outcome.m_crashes.m_crashed_otherwise;
                crash(worker, fault.m_unnoticed);
            }
            else
            {
                ++m_outcome.m_crashes.m_cut_off;
                worker.m_cut_off_until = m_now + fault.m_cut_off;
            }
        }
    }
    crash_by_tasks();
}

simulated_worker& load_simulation::process_of(int index)
{
    return m_workers.at(m_ids[static_cast<std::size_t>(index)]);
}

void load_simulation::crash_by_tasks()
{
    for (auto& [id, worker] : m_workers)
    {
        for (const simulated_run& run : worker.m_runs)
        {
            if (!run.m_crash_at || *run.m_crash_at > m_now)
            {
                continue;
            }
            simulated_job& job = m_jobs.at(run.m_ref.m_task.m_job);
            ++job.m_crashes;
            if (!job.m_first_crash)
            {
                job.m_first_crash = m_now;
            }
            ++m_outcome.m_crashes.m_crashed_by_tasks;
            crash(worker, span(0));
            break;
        }
    }
}

void load_simulation::crash(simulated_worker& worker, span unnoticed)
{
    for (const simulated_run& run : worker.m_runs)
    {
        if (step_of(run.m_ref.m_task).m_gang)
        {
            m_crashed_gangs.emplace(run.m_ref.m_task.step_str(),
                                    run.m_ref.m_run);
        }
        const double before = m_outcome.m_lost_core_seconds;
        count_lost_work(run, run.m_reported_work_ms);
        m_outcome.m_crashes.m_lost_core_seconds +=
            m_outcome.m_lost_core_seconds - before;
    }
    worker.m_runs.clear();
    worker.m_ended.clear();
    worker.m_crashed = true;
    worker.m_closed_connections = unnoticed == span(0);
    worker.m_refuses_from = m_now + unnoticed;
    worker.m_next_report = worker.m_refuses_from;
    m_replacements.push_back({m_now + replacement_time, worker.m_index});
    if (!m_profile.m_faults.m_keeps_ids)
    {
        m_unlistings.emplace_back(m_now + unlisting_time,
                                  worker.m_description.m_id);
    }
}

void load_simulation::lapse_leases()
{
    for (auto& [id, worker] : m_workers)
    {
        if (m_now < worker.m_cut_off_until &&
            m_now - worker.m_renewed_at >= dispatch_limits().m_worker_lease)
        {
            while (!worker.m_runs.empty())
            {
                end_run(worker, 0, run_outcome::lease_lapsed);
            }
        }
    }
}

void load_simulation::replace_workers()
{
    for (const replacement& each : m_replacements)
    {
        if (each.m_at > m_now)
        {
            continue;
        }
        const std::string& old = m_ids[static_cast<std::size_t>(each.m_worker)];
        const std::int64_t incarnation = m_now.count();
        const std::string id = m_profile.m_faults.m_keeps_ids
                                   ? old
                                   : "w" + std::to_string(each.m_worker) + "-" +
                                         std::to_string(incarnation);
        add_worker(each.m_worker, id, incarnation);
    }
    std::erase_if(m_replacements, [this](const replacement& each)
                  { return each.m_at <= m_now; });
    for (const auto& [at, id] : m_unlistings)
    {
        if (at <= m_now)
        {
            m_dispatcher.worker_unlisted(id, m_now);
        }
    }
    std::erase_if(m_unlistings,
                  [this](const auto& each) { return each.first <= m_now; });
}

} // namespace kingcuprudder::dispatch
