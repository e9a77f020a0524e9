#include <soak/worker_sampler.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuprudder::soak
{

namespace
{

std::vector<present_task>
running_tasks(const stand_ins::minions_snapshot& snapshot)
{
    std::vector<present_task> running;
    for (const stand_ins::minion_snapshot& minion : snapshot.m_minions)
    {
        for (const std::string& task : minion.m_running)
        {
            running.push_back({minion.m_id, task});
        }
    }
    return running;
}

} // namespace

worker_sampler::worker_sampler(demand_hook demand) : m_demand(std::move(demand))
{
}

deployment_sample
worker_sampler::sample(const stand_ins::minions_snapshot& snapshot, instant now)
{
    deployment_sample sample;
    sample.m_at = now;
    for (const stand_ins::minion_snapshot& minion : snapshot.m_minions)
    {
        sample.m_workers.push_back(convert(minion));
    }
    const std::vector<present_task> before =
        std::exchange(m_running, running_tasks(snapshot));
    sample.m_present = m_running;
    std::set<std::string> listed;
    for (const present_task& each : m_running)
    {
        listed.insert(each.m_task);
    }
    const auto add_ended = [&](const std::string& task)
    {
        if (listed.insert(task).second)
        {
            sample.m_present.push_back({"", task});
        }
    };
    for (const present_task& each : before)
    {
        add_ended(each.m_task);
    }
    for (const stand_ins::run_event& event : snapshot.m_events)
    {
        add_ended(event.m_task);
    }
    return sample;
}

worker_sample
worker_sampler::convert(const stand_ins::minion_snapshot& minion) const
{
    worker_sample worker;
    worker.m_id = minion.m_id;
    worker.m_pool = minion.m_pool;
    worker.m_labels = minion.m_labels;
    worker.m_capacity = minion.m_capacity;
    worker.m_free = minion.m_capacity;
    worker.m_draining = minion.m_draining;
    for (const std::string& task : minion.m_running)
    {
        worker.m_free -= m_demand(task);
    }
    return worker;
}

} // namespace kingcuprudder::soak
