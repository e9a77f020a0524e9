#include <kingcuprudder/membership/target_table.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace kingcuprudder
{

namespace
{

/// A list lags by seconds, so that it can show only the latest lives.
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

bool is_retired(const target& known, const std::string& start_id)
{
    return std::find(known.m_retired.begin(), known.m_retired.end(),
                     start_id) != known.m_retired.end();
}

/// Replaces a target by its next life. What was observed of the former one
/// does not apply to it.
void begin_life(target& known, const target_ref& ref)
{
    target next;
    next.m_ref = ref;
    next.m_retired = std::move(known.m_retired);
    next.m_retired.push_back(known.m_ref.m_start_id);
    if (next.m_retired.size() > max_retired_start_ids)
    {
        next.m_retired.erase(next.m_retired.begin());
    }
    known = std::move(next);
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
    target* known = find_instance(*targets, ref.m_instance);
    if (known == nullptr || known->m_ref.m_start_id != ref.m_start_id)
    {
        return nullptr;
    }
    return known;
}

void target_table::on_list(const std::vector<listed_target>& list, instant now)
{
    for (const listed_target& each : list)
    {
        take_over(each);
    }
    note_absence(list, now);
    on_tick(now);
}

void target_table::take_over(const listed_target& listed)
{
    std::vector<target>& targets = m_services[listed.m_target.m_service];
    target* known = find_instance(targets, listed.m_target.m_instance);
    if (known == nullptr)
    {
        target added;
        added.m_ref = listed.m_target;
        auto place = std::lower_bound(
            targets.begin(), targets.end(), listed.m_target.m_instance,
            [](const target& each, const instance_id& key)
            { return each.m_ref.m_instance < key; });
        known = &*targets.insert(place, std::move(added));
    }
    if (is_retired(*known, listed.m_target.m_start_id))
    {
        return;
    }
    if (known->m_ref.m_start_id != listed.m_target.m_start_id)
    {
        begin_life(*known, listed.m_target);
    }
    known->m_ref.m_address = listed.m_target.m_address;
    known->m_absent_since.reset();
    if (listed.m_draining)
    {
        known->m_state = target_state::draining;
    }
    else if (known->m_state == target_state::gone)
    {
        known->m_state = target_state::suspect;
    }
}

void target_table::note_absence(const std::vector<listed_target>& list,
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
            if (!each.m_absent_since &&
                !listed.contains({service, each.m_ref.m_instance}))
            {
                each.m_absent_since = now;
            }
        }
    }
}

void target_table::on_answer(const target_ref& ref, bool leaving, bool probe)
{
    target* known = find(ref);
    if (known == nullptr)
    {
        return;
    }
    if (probe)
    {
        known->m_probing = false;
    }
    if (leaving)
    {
        known->m_state = target_state::draining;
    }
    if (known->m_state == target_state::draining)
    {
        return;
    }
    if (!probe)
    {
        known->m_failures = 0;
        known->m_probe_delay = first_probe_delay;
    }
    else if (known->m_failures >= failures_until_suspect)
    {
        // A target can answer probes and still fail calls: its next failed
        // call makes it suspect again, with a longer delay.
        known->m_failures = failures_until_suspect - 1;
    }
    known->m_state = target_state::live;
}

void target_table::on_failure(const target_ref& ref, bool probe, instant now)
{
    target* known = find(ref);
    if (known == nullptr)
    {
        return;
    }
    if (probe)
    {
        known->m_probing = false;
    }
    ++known->m_failures;
    if (known->m_failures < failures_until_suspect)
    {
        return;
    }
    const bool newly_suspect = known->m_state == target_state::live;
    if (newly_suspect)
    {
        known->m_state = target_state::suspect;
    }
    if (newly_suspect || probe)
    {
        known->m_next_probe = now + known->m_probe_delay;
        known->m_probe_delay =
            std::min(known->m_probe_delay * 2, longest_probe_delay);
    }
}

void target_table::on_tick(instant now)
{
    for (auto& [service, targets] : m_services)
    {
        for (target& each : targets)
        {
            const bool absent =
                each.m_absent_since &&
                now - *each.m_absent_since >= absence_until_gone;
            if (absent && each.m_failures >= failures_until_suspect &&
                each.m_state == target_state::suspect)
            {
                each.m_state = target_state::gone;
            }
        }
        std::erase_if(targets,
                      [now](const target& each)
                      {
                          return each.m_absent_since &&
                                 each.m_state != target_state::live &&
                                 each.m_in_flight == 0 &&
                                 now - *each.m_absent_since >= span::hours(1);
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
                each.m_state == target_state::live && each.m_absent_since;
            const bool doubtful =
                unlisted || each.m_state == target_state::suspect;
            if (!doubtful || each.m_probing || now < each.m_next_probe)
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
