#include <kingcuprudder/placement/gang_policy.hpp>
#include <kingcuprudder/placement/planning_pass.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuprudder
{

void gang_policy::configure(const effective_settings& settings,
                            const cluster& region,
                            const std::vector<running_job>& running)
{
    m_settings = settings;
    m_ranges = worker_ranges(region);
    m_running.clear();
    m_reserved_ranges.clear();
    m_layout = guarantee_layout::build(
        m_options.m_guarantees ? settings : effective_settings{}, region,
        running);
}

std::optional<std::string> gang_policy::never_fits(const cluster& region,
                                                   const job_spec& spec) const
{
    auto reason = reason_never_fits(total_resources(region), m_ranges,
                                    spec.m_shape, "the whole topology");
    if (reason.has_value() || can_be_preempted(spec))
    {
        return reason;
    }
    for (std::size_t slot : m_layout.slots_of(spec.m_key.m_account))
    {
        if (covers(m_layout.slots()[slot].m_shape, spec.m_shape))
        {
            return std::nullopt;
        }
    }
    return reason_never_fits(m_layout.unguaranteed_resources(region), m_ranges,
                             spec.m_shape,
                             "the capacity outside of all guarantees, to "
                             "which jobs that cannot be stopped are limited,");
}

void gang_policy::observe_completions(const std::vector<running_entry>& ended,
                                      const std::vector<queued_job>& queue,
                                      instant now)
{
    if (ended.empty())
    {
        return;
    }
    std::set<job_key> waiting;
    for (const queued_job& each : queue)
    {
        waiting.insert(each.m_spec.m_key);
    }
    for (const running_entry& each : ended)
    {
        // The run time of a job that was stopped or queued again is not the
        // run time of the whole job.
        if (!each.m_stopping && waiting.count(each.m_key) == 0)
        {
            m_estimator.observe(each.m_key.m_account, each.m_class,
                                each.m_declared_run_time, each.elapsed(now));
        }
    }
}

void gang_policy::rebuild_incomplete_layout(
    const std::vector<running_entry>& ended, const cluster& region,
    const std::vector<running_job>& running)
{
    bool freed_capacity = std::any_of(ended.begin(), ended.end(),
                                      [](const running_entry& each)
                                      { return !each.m_can_be_preempted; });
    if (freed_capacity && !m_layout.shortfalls().empty())
    {
        m_layout = guarantee_layout::build(m_settings, region, running);
    }
}

void gang_policy::assign_slots()
{
    std::vector<bool> held(m_layout.slots().size(), false);
    for (running_entry& entry : m_running.entries())
    {
        entry.m_slot = running_entry::no_slot;
        for (std::size_t slot : m_layout.slots_of(entry.m_key.m_account))
        {
            if (!held[slot] && runs_in_slot(m_layout.slots()[slot],
                                            entry.m_shape, entry.m_placement))
            {
                held[slot] = true;
                entry.m_slot = slot;
                break;
            }
        }
    }
}

void gang_policy::prune_reservations(const std::vector<queued_job>& queue)
{
    std::map<job_key, std::size_t> kept;
    for (const queued_job& each : queue)
    {
        auto found = m_reserved_ranges.find(each.m_spec.m_key);
        if (found != m_reserved_ranges.end())
        {
            kept.insert(*found);
        }
    }
    m_reserved_ranges = std::move(kept);
}

plan gang_policy::make_plan(const cluster& region,
                            const std::vector<queued_job>& queue,
                            const std::vector<running_job>& running,
                            instant now)
{
    std::vector<running_entry> ended = m_running.synchronize(region, running);
    observe_completions(ended, queue, now);
    rebuild_incomplete_layout(ended, region, running);
    assign_slots();
    prune_reservations(queue);
    planning_pass pass({region, m_ranges, m_layout, m_running.entries(),
                        m_estimator, m_options, m_settings.m_scheduler,
                        m_reserved_ranges, now});
    return pass.run(queue);
}

} // namespace kingcuprudder
