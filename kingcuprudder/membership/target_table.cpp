#include <kingcuprudder/membership/target_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// The instance list lags by seconds, so that it can contain only the latest
/// incarnations.
constexpr std::size_t max_retired_start_ids = 8;

using target = target_table::target;

target* find_instance(std::vector<target>& targets, const instance_id& id)
{
    auto found = std::lower_bound(targets.begin(), targets.end(), id,
                                  [](const target& each, const instance_id& key)
                                  { return each.m_ref.m_instance < key; });
    if (found == targets.end() || found->m_ref.m_instance != id)
    {
        return nullptr;
    }
    return &*found;
}

bool is_retired(const target& existing, const std::string& start_id)
{
    return std::find(existing.m_retired_start_ids.begin(),
                     existing.m_retired_start_ids.end(),
                     start_id) != existing.m_retired_start_ids.end();
}

/// Replaces a target by its next incarnation. What was observed of the previous
/// one does not apply to it.
void begin_incarnation(target& existing, const target_ref& ref)
{
    target next;
    next.m_ref = ref;
    next.m_retired_start_ids = std::move(existing.m_retired_start_ids);
    next.m_retired_start_ids.push_back(existing.m_ref.m_start_id);
    if (next.m_retired_start_ids.size() > max_retired_start_ids)
    {
        next.m_retired_start_ids.erase(next.m_retired_start_ids.begin());
    }
    existing = std::move(next);
}

} // namespace

std::string_view to_string(target_state state)
{
    switch (state)
    {
    case target_state::live:
        return "live";
    case target_state::draining:
        return "leaving";
    case target_state::suspect:
        return "suspect";
    case target_state::gone:
        return "gone";
    }
    return "gone";
}

std::vector<target>* target_table::find_service(const service_id& service)
{
    auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

target* target_table::find(const target_ref& ref)
{
    std::vector<target>* targets = find_service(ref.m_service);
    if (targets == nullptr)
    {
        return nullptr;
    }
    target* existing = find_instance(*targets, ref.m_instance);
    if (existing == nullptr || existing->m_ref.m_start_id != ref.m_start_id)
    {
        return nullptr;
    }
    return existing;
}

void target_table::on_list(const std::vector<listed_target>& list, instant now)
{
    for (const listed_target& each : list)
    {
        apply_entry(each);
    }
    mark_unlisted(list, now);
    on_tick(now);
}

void target_table::apply_entry(const listed_target& listed)
{
    std::vector<target>& targets = m_services[listed.m_target.m_service];
    target* existing = find_instance(targets, listed.m_target.m_instance);
    if (existing == nullptr)
    {
        target added;
        added.m_ref = listed.m_target;
        auto position = std::lower_bound(
            targets.begin(), targets.end(), listed.m_target.m_instance,
            [](const target& each, const instance_id& key)
            { return each.m_ref.m_instance < key; });
        existing = &*targets.insert(position, std::move(added));
    }
    if (is_retired(*existing, listed.m_target.m_start_id))
    {
        return;
    }
    if (existing->m_ref.m_start_id != listed.m_target.m_start_id)
    {
        begin_incarnation(*existing, listed.m_target);
    }
    existing->m_ref.m_address = listed.m_target.m_address;
    existing->m_unlisted_since.reset();
    if (listed.m_draining)
    {
        existing->m_state = target_state::draining;
    }
    else if (existing->m_state == target_state::gone)
    {
        existing->m_state = target_state::suspect;
    }
}

void target_table::mark_unlisted(const std::vector<listed_target>& list,
                                 instant now)
{
    std::set<std::pair<service_id, instance_id>> listed;
    for (const listed_target& each : list)
    {
        listed.emplace(each.m_target.m_service, each.m_target.m_instance);
    }
    for (auto& [service, targets] : m_services)
    {
        for (target& each : targets)
        {
            if (!each.m_unlisted_since &&
                !listed.contains({service, each.m_ref.m_instance}))
            {
                each.m_unlisted_since = now;
            }
        }
    }
}

void target_table::on_answer(const target_ref& ref, bool draining, bool probe)
{
    target* existing = find(ref);
    if (existing == nullptr)
    {
        return;
    }
    if (probe)
    {
        existing->m_probing = false;
    }
    if (draining)
    {
        existing->m_state = target_state::draining;
    }
    if (existing->m_state == target_state::draining)
    {
        return;
    }
    if (!probe)
    {
        existing->m_failures = 0;
        existing->m_probe_delay = initial_probe_delay;
    }
    else if (existing->m_failures >= failures_until_suspect)
    {
        // A target can answer probes and still fail calls: its next failed
        // call makes it suspect again, with a longer delay.
        existing->m_failures = failures_until_suspect - 1;
    }
    existing->m_state = target_state::live;
}

void target_table::on_failure(const target_ref& ref, bool probe, instant now)
{
    target* existing = find(ref);
    if (existing == nullptr)
    {
        return;
    }
    if (probe)
    {
        existing->m_probing = false;
    }
    ++existing->m_failures;
    if (existing->m_failures < failures_until_suspect)
    {
        return;
    }
    const bool newly_suspect = existing->m_state == target_state::live;
    if (newly_suspect)
    {
        existing->m_state = target_state::suspect;
    }
    if (newly_suspect || probe)
    {
        existing->m_next_probe = now + existing->m_probe_delay;
        existing->m_probe_delay =
            std::min(existing->m_probe_delay * 2, max_probe_delay);
    }
}

void target_table::on_tick(instant now)
{
    for (auto& [service, targets] : m_services)
    {
        for (target& each : targets)
        {
            const bool unlisted_too_long =
                each.m_unlisted_since &&
                now - *each.m_unlisted_since >= unlisted_until_gone;
            if (unlisted_too_long &&
                each.m_failures >= failures_until_suspect &&
                each.m_state == target_state::suspect)
            {
                each.m_state = target_state::gone;
            }
        }
        std::erase_if(targets,
                      [now](const target& each)
                      {
                          return each.m_unlisted_since &&
                                 each.m_state != target_state::live &&
                                 each.m_in_flight == 0 &&
                                 now - *each.m_unlisted_since >= span::hours(1);
                      });
    }
}

std::vector<target_ref> target_table::start_due_probes(instant now)
{
    std::vector<target_ref> due;
    for (auto& [service, targets] : m_services)
    {
        for (target& each : targets)
        {
            const bool unlisted =
                each.m_state == target_state::live && each.m_unlisted_since;
            const bool needs_probe =
                unlisted || each.m_state == target_state::suspect;
            if (!needs_probe || each.m_probing || now < each.m_next_probe)
            {
                continue;
            }
            each.m_probing = true;
            each.m_next_probe = now + each.m_probe_delay;
            due.push_back(each.m_ref);
        }
    }
    return due;
}

} // namespace kingcuprudder
