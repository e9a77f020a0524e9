#ifndef KINGCUPRUDDER_UNIT_TESTS_CORE_PLACEMENT_TEST_SUPPORT_HPP
#define KINGCUPRUDDER_UNIT_TESTS_CORE_PLACEMENT_TEST_SUPPORT_HPP

#include <kingcuprudder/placement/gang_policy.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace kingcuprudder::placement_test
{

/// Creates zones z0, z1, ... with two racks each and this many workers with 8
/// accelerators per rack.
inline cluster make_region(std::size_t zones, std::size_t workers_per_rack)
{
    std::vector<worker> workers;
    for (std::size_t i = 0; i < zones * 2 * workers_per_rack; ++i)
    {
        std::size_t rack = i / workers_per_rack;
        workers.push_back({worker_id("w" + std::to_string(100 + i)),
                           zone_id("z" + std::to_string(rack / 2)),
                           rack_id("r" + std::to_string(rack % 2)), 8, 64,
                           65536, ""});
    }
    return cluster(workers);
}

inline shape gang(std::uint32_t tasks, proximity near,
                  std::uint32_t accelerators = 1)
{
    return {tasks, accelerators, 2, 64, near};
}

inline queued_job make_job(const std::string& account, const std::string& id,
                           const shape& needed, instant accepted,
                           span declared = span::hours(1))
{
    queued_job job;
    job.m_spec.m_key = {account_id(account), job_id(id)};
    job.m_spec.m_class = job_class_id("class");
    job.m_spec.m_shape = needed;
    job.m_spec.m_declared_run_time = declared;
    job.m_accepted_at = accepted;
    return job;
}

inline queued_job non_preemptible(queued_job job)
{
    job.m_spec.m_preemptible = false;
    return job;
}

inline effective_settings
guarantees(const std::vector<std::pair<std::string, guarantee>>& wanted)
{
    effective_settings settings;
    for (const auto& [account, each] : wanted)
    {
        settings.m_accounts[account_id(account)].m_guarantees.push_back(each);
    }
    return settings;
}

/// A region with its queue and running jobs. Applies the plans of a policy to
/// itself.
struct simulated_region
{
    explicit simulated_region(cluster all) : m_region(std::move(all)) {}

    plan step(placement_policy& policy, instant now)
    {
        plan decided = policy.make_plan(m_region, m_queue, m_running, now);
        for (const planned_placement& each : decided.m_placements)
        {
            start(each, now);
        }
        for (const planned_reclaim& each : decided.m_reclaims)
        {
            running(each.m_victim.m_job.str())->m_stopping = true;
        }
        return decided;
    }

    void start(const planned_placement& planned, instant now)
    {
        auto job = std::find_if(m_queue.begin(), m_queue.end(),
                                [&](const queued_job& each)
                                { return each.m_spec.m_key == planned.m_job; });
        m_region.allocate(job->m_spec.m_shape, planned.m_placement);
        m_running.push_back({job->m_spec, planned.m_placement, now, {}, false});
        m_queue.erase(job);
    }

    running_job* running(const std::string& id)
    {
        auto found =
            std::find_if(m_running.begin(), m_running.end(),
                         [&](const running_job& each)
                         { return each.m_spec.m_key.m_job.str() == id; });
        return found == m_running.end() ? nullptr : &*found;
    }

    void end(const std::string& id)
    {
        running_job* job = running(id);
        m_region.release(job->m_spec.m_shape, job->m_placement);
        m_running.erase(m_running.begin() + (job - m_running.data()));
    }

    cluster m_region;
    std::vector<queued_job> m_queue;
    std::vector<running_job> m_running;
};

} // namespace kingcuprudder::placement_test

#endif
