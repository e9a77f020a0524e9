#include "simulation.hpp"

#include <kingcuprudder/base/assert.hpp>

#include <algorithm>
#include <chrono>

namespace kingcuprudder
{

namespace
{

/// Time from the decision to stop a job until its accelerators are free, within
/// the reclaim bound of 800 ms.
constexpr span stop_time = span(500);

/// The tasks of a lost worker count as stopped once their lease has expired.
constexpr span task_lease = span::seconds(60);

/// Preemptible jobs write a checkpoint at this interval. The work since the
/// last one is lost when the job is stopped, as the simulation assumes no
/// checkpoint at the stop itself.
constexpr span checkpoint_interval = span::minutes(10);

} // namespace

simulation::simulation(const deployment& where,
                       const std::vector<generated_job>& jobs,
                       placement_policy& policy, std::optional<zone_loss> loss)
    : m_deployment(where), m_jobs(jobs), m_policy(policy),
      m_loss(std::move(loss)), m_region(where.m_workers), m_states(jobs.size()),
      m_metrics(where, jobs, m_region)
{
    for (std::size_t i = 0; i < jobs.size(); ++i)
    {
        m_numbers.emplace(jobs[i].m_job.m_spec.m_key, i);
    }
    if (m_loss.has_value())
    {
        m_events.push({m_loss->m_lost_at, event_kind::zone_lost, 0, 0});
        m_events.push({m_loss->m_restored_at, event_kind::zone_restored, 0, 0});
    }
}

running_job& simulation::find_running(std::size_t job)
{
    const job_key& key = m_jobs[job].m_job.m_spec.m_key;
    auto found = std::find_if(m_running.begin(), m_running.end(),
                              [&](const running_job& each)
                              { return each.m_spec.m_key == key; });
    KCR_ASSERT(found != m_running.end());
    return *found;
}

void simulation::release(std::size_t job)
{
    running_job& running = find_running(job);
    m_region.release(running.m_spec.m_shape, running.m_placement);
    m_running.erase(m_running.begin() + (&running - m_running.data()));
    m_states[job].m_running = false;
    ++m_states[job].m_attempt;
}

void simulation::end_job(std::size_t job)
{
    release(job);
    m_metrics.job_ended(m_jobs[job], m_now);
}

void simulation::stop_job(std::size_t job)
{
    const running_job& running = find_running(job);
    span ran = m_now - running.m_placed_at;
    span saved =
        checkpoint_interval * (ran.count() / checkpoint_interval.count());
    bool again = running.m_spec.m_idempotent;
    m_metrics.work_lost(static_cast<double>((ran - saved).count()) *
                        running.m_spec.m_shape.accelerators());
    release(job);
    if (!again)
    {
        m_metrics.job_lost();
        return;
    }
    m_states[job].m_saved = m_states[job].m_saved + saved;
    queued_job queued = m_jobs[job].m_job;
    queued.m_saved_run_time = m_states[job].m_saved;
    m_queue.push_back(queued);
}

void simulation::lose_zone()
{
    for (const worker& each : m_deployment.m_workers)
    {
        if (each.m_zone == m_loss->m_zone)
        {
            m_region.set_usable(each.m_id, false);
        }
    }
    for (running_job& each : m_running)
    {
        bool hit = std::any_of(
            each.m_placement.begin(), each.m_placement.end(),
            [&](const allocation& part)
            { return !m_region.usable(m_region.index_of(part.m_worker)); });
        if (hit && !each.m_stopping)
        {
            each.m_stopping = true;
            std::size_t job = m_numbers.at(each.m_spec.m_key);
            m_events.push({m_now + task_lease, event_kind::job_stops, job,
                           m_states[job].m_attempt});
        }
    }
    m_policy.configure(m_deployment.m_settings, m_region, m_running);
}

void simulation::restore_zone()
{
    for (const worker& each : m_deployment.m_workers)
    {
        m_region.set_usable(each.m_id, true);
    }
    m_policy.configure(m_deployment.m_settings, m_region, m_running);
}

void simulation::handle(const event& each)
{
    const job_state& state = m_states[each.m_job];
    bool current = state.m_running && state.m_attempt == each.m_attempt;
    switch (each.m_kind)
    {
    case event_kind::job_ends:
        if (current && !find_running(each.m_job).m_stopping)
        {
            end_job(each.m_job);
        }
        break;
    case event_kind::job_stops:
        if (current)
        {
            stop_job(each.m_job);
        }
        break;
    case event_kind::zone_lost:
        lose_zone();
        break;
    case event_kind::zone_restored:
        restore_zone();
        break;
    }
}

void simulation::start(const planned_placement& planned)
{
    std::size_t job = m_numbers.at(planned.m_job);
    job_state& state = m_states[job];
    auto queued = std::find_if(m_queue.begin(), m_queue.end(),
                               [&](const queued_job& each)
                               { return each.m_spec.m_key == planned.m_job; });
    KCR_ASSERT(queued != m_queue.end());
    m_queue.erase(queued);
    m_region.allocate(m_jobs[job].m_job.m_spec.m_shape, planned.m_placement);
    m_running.push_back({m_jobs[job].m_job.m_spec, planned.m_placement, m_now,
                         state.m_saved, false});
    if (state.m_attempt == 0)
    {
        m_metrics.job_started_first(m_jobs[job], m_now);
    }
    state.m_running = true;
    m_events.push({m_now + (m_jobs[job].m_actual - state.m_saved),
                   event_kind::job_ends, job, state.m_attempt});
}

void simulation::reclaim(const planned_reclaim& planned)
{
    std::size_t job = m_numbers.at(planned.m_victim);
    running_job& victim = find_running(job);
    KCR_ASSERT(victim.m_spec.m_preemptible && victim.m_spec.m_idempotent);
    if (!victim.m_stopping)
    {
        victim.m_stopping = true;
        m_events.push({m_now + stop_time, event_kind::job_stops, job,
                       m_states[job].m_attempt});
    }
}

void simulation::run_planning_pass()
{
    auto before = std::chrono::steady_clock::now();
    plan decided = m_policy.make_plan(m_region, m_queue, m_running, m_now);
    std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - before;
    m_metrics.record_pass_time(took.count());
    for (const planned_placement& each : decided.m_placements)
    {
        start(each);
    }
    for (const planned_reclaim& each : decided.m_reclaims)
    {
        reclaim(each);
    }
    m_metrics.update_guarantees(m_queue, m_running, m_now);
}

void simulation::enqueue_arrivals()
{
    while (m_arrived < m_jobs.size() &&
           m_jobs[m_arrived].m_job.m_accepted_at <= m_now)
    {
        m_queue.push_back(m_jobs[m_arrived].m_job);
        ++m_arrived;
    }
}

quality simulation::run()
{
    m_policy.configure(m_deployment.m_settings, m_region, {});
    while (m_arrived < m_jobs.size() || !m_events.empty())
    {
        instant next = m_events.empty() ? m_jobs[m_arrived].m_job.m_accepted_at
                                        : m_events.top().m_at;
        if (m_arrived < m_jobs.size())
        {
            next = std::min(next, m_jobs[m_arrived].m_job.m_accepted_at);
        }
        if (m_arrived < m_jobs.size())
        {
            m_metrics.advance_to(m_region, m_arrived, next);
        }
        m_now = next;
        while (!m_events.empty() && m_events.top().m_at <= m_now)
        {
            event each = m_events.top();
            m_events.pop();
            handle(each);
        }
        enqueue_arrivals();
        run_planning_pass();
    }
    KCR_ASSERT(m_queue.empty() && m_running.empty());
    return m_metrics.finish();
}

} // namespace kingcuprudder
