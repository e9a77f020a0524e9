#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/placement/planning_pass.hpp>
#include <kingcuprudder/placement/tight_fit.hpp>

#include <algorithm>

namespace kingcuprudder
{

namespace
{

free_capacity intersection(const free_capacity& left,
                           const free_capacity& right)
{
    return {left.m_accelerators & right.m_accelerators,
            std::min(left.m_cores, right.m_cores),
            std::min(left.m_memory_mb, right.m_memory_mb)};
}

} // namespace

planning_pass::planning_pass(const planning_input& input)
    : m_input(input), m_views(free_resources(input.m_region)),
      m_reserved(input.m_region.size()),
      m_slot_taken(input.m_layout.slots().size(), false)
{
    init_unguaranteed_resources();
}

void planning_pass::init_unguaranteed_resources()
{
    // The cores and memory of guarantees are withheld on each worker whatever
    // runs there, so non-preemptible jobs share only the remaining ones.
    m_unguaranteed = m_input.m_layout.unguaranteed_resources(m_input.m_region);
    for (const running_entry& entry : m_input.m_running)
    {
        if (entry.m_slot != running_entry::no_slot)
        {
            m_slot_taken[entry.m_slot] = true;
        }
        else if (!entry.m_can_be_preempted)
        {
            subtract_resources(m_unguaranteed, entry.m_shape,
                               entry.m_placement);
        }
    }
}

plan planning_pass::run(const std::vector<queued_job>& queue)
{
    m_order = order_queue(queue, m_input.m_estimator, m_input.m_options,
                          m_input.m_settings.m_fragmentation_weight_percent,
                          m_input.m_now);
    m_decided.assign(m_order.size(), false);
    place_guaranteed();
    place_urgent();
    place_reservation_candidates();
    place_others();
    return std::move(m_plan);
}

bool planning_pass::may_run_on(const queued_job& job, std::size_t worker) const
{
    const worker_id& id = m_input.m_region.worker_at(worker).m_id;
    return m_input.m_region.usable(worker) &&
           std::find(job.m_excluded_workers.begin(),
                     job.m_excluded_workers.end(),
                     id) == job.m_excluded_workers.end();
}

std::vector<std::size_t>
planning_pass::covering_slots(const queued_job& job) const
{
    std::vector<std::size_t> slots;
    const job_spec& spec = job.m_spec;
    for (std::size_t slot : m_input.m_layout.slots_of(spec.m_key.m_account))
    {
        const guarantee_slot& each = m_input.m_layout.slots()[slot];
        bool usable =
            std::all_of(each.m_placement.begin(), each.m_placement.end(),
                        [&](const indexed_allocation& part)
                        { return may_run_on(job, part.m_worker); });
        if (usable && !m_slot_taken[slot] && covers(each.m_shape, spec.m_shape))
        {
            slots.push_back(slot);
        }
    }
    return slots;
}

void planning_pass::place_guaranteed()
{
    // Three rounds, so that no job takes resources that the guarantee of
    // another job needs: free slots, then slots that are already being freed,
    // then resources outside of the requested slots or preemption.
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < m_order.size(); ++i)
    {
        std::vector<std::size_t> slots = covering_slots(*m_order[i].m_job);
        if (!slots.empty())
        {
            m_decided[i] = start_in_own_slot(m_order[i], slots);
        }
        if (!slots.empty() && !m_decided[i])
        {
            waiting.push_back(i);
        }
    }
    for (std::size_t i : waiting)
    {
        m_decided[i] = reclaim_slot(m_order[i], false);
    }
    free_table unrequested = without_requested_slots(waiting);
    for (std::size_t i : waiting)
    {
        m_decided[i] = m_decided[i] ||
                       start_elsewhere(m_order[i], unrequested) ||
                       reclaim_slot(m_order[i], true);
    }
}

free_table planning_pass::without_requested_slots(
    const std::vector<std::size_t>& waiting) const
{
    free_table table = m_views.base();
    for (std::size_t i : waiting)
    {
        for (std::size_t slot : covering_slots(*m_order[i].m_job))
        {
            const guarantee_slot& each = m_input.m_layout.slots()[slot];
            subtract_resources(table, each.m_shape, each.m_placement);
        }
    }
    return table;
}

bool planning_pass::start_elsewhere(const ordered_job& job,
                                    free_table& unrequested)
{
    const shape& needed = job.m_job->m_spec.m_shape;
    auto where = find_placement(*job.m_job, unrequested);
    if (!where.has_value())
    {
        return false;
    }
    subtract_resources(unrequested, needed, *where);
    start(job, *where);
    return true;
}

bool planning_pass::start_in_own_slot(const ordered_job& job,
                                      const std::vector<std::size_t>& slots)
{
    const shape& needed = job.m_job->m_spec.m_shape;
    for (std::size_t slot : slots)
    {
        indexed_placement where =
            place_in_slot(m_input.m_layout.slots()[slot], needed);
        if (is_free(m_views.base(), needed, where))
        {
            m_slot_taken[slot] = true;
            start(job, where);
            return true;
        }
    }
    return false;
}

reclaim_selector& planning_pass::selector()
{
    if (!m_selector.has_value())
    {
        m_selector.emplace(m_input.m_running, m_views.base(), m_input.m_now);
    }
    return *m_selector;
}

bool planning_pass::reclaim_slot(const ordered_job& job, bool allow_preemption)
{
    const job_spec& spec = job.m_job->m_spec;
    auto choice = selector().choose(m_input.m_layout,
                                    covering_slots(*job.m_job), spec.m_shape);
    if (!choice.has_value() ||
        (!choice->m_victims.empty() && !allow_preemption))
    {
        return false;
    }
    selector().accept(*choice, spec.m_shape);
    m_slot_taken[choice->m_slot] = true;
    // Withholds the part of the slot that is free already from other jobs.
    m_views.subtract_from_all(spec.m_shape, choice->m_placement);
    for (std::size_t victim : choice->m_victims)
    {
        m_plan.m_reclaims.push_back(
            {m_input.m_running[victim].m_key, spec.m_key});
    }
    add_wait_reason(job,
                    "waits for its guaranteed shape; " +
                        std::to_string(choice->m_victims.size()) +
                        " jobs are being stopped",
                    m_input.m_now + m_input.m_settings.m_reclaim_bound);
    return true;
}

void planning_pass::place_urgent()
{
    for (std::size_t i = 0; i < m_order.size(); ++i)
    {
        if (!m_decided[i] && m_order[i].m_job->m_spec.m_urgent)
        {
            m_decided[i] = place_or_reserve(m_order[i]);
        }
    }
}

void planning_pass::place_reservation_candidates()
{
    for (std::size_t i : reservation_candidates(
             m_order, reservation_limit(),
             m_input.m_options.m_min_wait_for_reservation, m_input.m_now))
    {
        if (!m_decided[i])
        {
            m_decided[i] = place_or_reserve(m_order[i]);
        }
    }
}

void planning_pass::place_others()
{
    for (std::size_t i = 0; i < m_order.size(); ++i)
    {
        if (!m_decided[i] && !place(m_order[i]))
        {
            add_capacity_wait_reason(m_order[i], instant());
        }
    }
}

bool planning_pass::place_or_reserve(const ordered_job& job)
{
    return place(job) || reserve_for(job);
}

instant planning_pass::expected_end(const ordered_job& job) const
{
    return m_input.m_now + job.m_expected;
}

bool planning_pass::place(const ordered_job& job)
{
    const job_spec& spec = job.m_job->m_spec;
    instant end = expected_end(job);
    std::pair<shape, bool> kind{spec.m_shape, can_be_preempted(spec)};
    auto failed = m_earliest_failed_end.find(kind);
    if (failed != m_earliest_failed_end.end() && end >= failed->second)
    {
        return false;
    }
    auto where = find_placement(*job.m_job, m_views.for_job_ending(end));
    if (where.has_value())
    {
        start(job, *where);
        return true;
    }
    if (job.m_job->m_excluded_workers.empty())
    {
        m_earliest_failed_end[kind] = end;
    }
    return false;
}

free_table planning_pass::allowed_resources(const queued_job& job,
                                            const free_table& view) const
{
    free_table table = view;
    if (!can_be_preempted(job.m_spec))
    {
        for (std::size_t i = 0; i < table.size(); ++i)
        {
            table[i] = intersection(table[i], m_unguaranteed[i]);
        }
    }
    for (const worker_id& id : job.m_excluded_workers)
    {
        std::size_t index = m_input.m_region.index_of(id);
        if (index < table.size())
        {
            table[index] = {};
        }
    }
    return table;
}

std::optional<indexed_placement>
planning_pass::find_placement(const queued_job& job,
                              const free_table& view) const
{
    const shape& needed = job.m_spec.m_shape;
    auto choose = m_input.m_options.m_tight_fit ? tight_fit : first_fit;
    if (can_be_preempted(job.m_spec) && job.m_excluded_workers.empty())
    {
        return choose(view, m_input.m_ranges, needed);
    }
    return choose(allowed_resources(job, view), m_input.m_ranges, needed);
}

void planning_pass::start(const ordered_job& job,
                          const indexed_placement& where)
{
    const job_spec& spec = job.m_job->m_spec;
    KCR_ASSERT(is_free(m_views.base(), spec.m_shape, where));
    m_views.subtract_from_all(spec.m_shape, where);
    if (!can_be_preempted(spec))
    {
        subtract_resources(m_unguaranteed, spec.m_shape, where);
    }
    if (m_selector.has_value())
    {
        m_selector->subtract_placed(spec.m_shape, where);
    }
    m_plan.m_placements.push_back(
        {spec.m_key, to_placement(m_input.m_region, where)});
}

const std::vector<expected_release>& planning_pass::releases()
{
    if (m_releases_computed)
    {
        return m_releases;
    }
    m_releases_computed = true;
    m_releases.reserve(m_input.m_running.size());
    for (const running_entry& entry : m_input.m_running)
    {
        span expected = m_input.m_estimator.expected(
            entry.m_key.m_account, entry.m_class, entry.m_declared_run_time);
        span left = entry.m_stopping
                        ? m_input.m_settings.m_reclaim_bound
                        : run_time_estimator::remaining(
                              expected, entry.elapsed(m_input.m_now));
        m_releases.push_back(
            {m_input.m_now + left, &entry.m_shape, &entry.m_placement});
    }
    std::stable_sort(
        m_releases.begin(), m_releases.end(),
        [](const expected_release& left, const expected_release& right)
        { return left.m_at < right.m_at; });
    return m_releases;
}

std::size_t planning_pass::reservation_limit() const
{
    std::size_t max_reservations = m_input.m_options.m_max_reservations;
    if (max_reservations == 0)
    {
        return 0;
    }
    std::size_t weight = m_input.m_settings.m_fragmentation_weight_percent;
    return 1 + (max_reservations - 1) * weight / 100;
}

bool planning_pass::is_overdue(const ordered_job& job) const
{
    const gang_policy_options& options = m_input.m_options;
    span drain_after =
        std::max(options.m_min_wait_for_drain,
                 job.m_expected * options.m_drain_after_run_times);
    return m_input.m_now - job.m_job->m_accepted_at > drain_after;
}

std::optional<range_preference>
planning_pass::preferred_range(const ordered_job& job,
                               const free_table& excluded) const
{
    const job_spec& spec = job.m_job->m_spec;
    if (is_overdue(job))
    {
        // The range that is being drained has the most free capacity. Choosing
        // by capacity makes a new owner, which lacks the state of earlier
        // passes, continue with the same range.
        free_table left = m_views.base();
        for (std::size_t i = 0; i < left.size(); ++i)
        {
            left[i] = without(left[i], excluded[i]);
        }
        range_capacity capacity =
            range_with_most_capacity(left, m_input.m_ranges, spec.m_shape);
        return range_preference{capacity.m_range, true};
    }
    auto previous = m_input.m_reserved_ranges.find(spec.m_key);
    if (previous == m_input.m_reserved_ranges.end())
    {
        return std::nullopt;
    }
    return range_preference{previous->second, false};
}

bool planning_pass::reserve_for(const ordered_job& job)
{
    if (m_reservation_count >= reservation_limit())
    {
        return false;
    }
    const job_spec& spec = job.m_job->m_spec;
    free_table excluded = m_reserved;
    if (!can_be_preempted(spec))
    {
        for (std::size_t i = 0; i < excluded.size(); ++i)
        {
            const free_capacity& guaranteed = m_input.m_layout.guaranteed_on(i);
            excluded[i].m_accelerators |= guaranteed.m_accelerators;
            excluded[i].m_cores += guaranteed.m_cores;
            excluded[i].m_memory_mb += guaranteed.m_memory_mb;
        }
    }
    auto reserved = find_reservation(
        {m_input.m_ranges, m_views.base(), releases(), excluded}, spec.m_shape,
        m_input.m_now, preferred_range(job, excluded));
    if (!reserved.has_value())
    {
        return false;
    }
    ++m_reservation_count;
    m_input.m_reserved_ranges[spec.m_key] = reserved->m_range;
    m_views.add_reservation(*reserved, is_overdue(job) ? m_input.m_now
                                                       : reserved->m_start);
    for (const indexed_allocation& part : reserved->m_placement)
    {
        add_resources(m_reserved, spec.m_shape, part);
    }
    add_capacity_wait_reason(job, reserved->m_start);
    return true;
}

void planning_pass::add_capacity_wait_reason(const ordered_job& job,
                                             instant expected_start)
{
    const job_spec& spec = job.m_job->m_spec;
    bool non_preemptible = !can_be_preempted(spec);
    const std::string* text =
        m_wait_reason_texts.find(spec.m_shape, non_preemptible);
    if (text == nullptr)
    {
        text = &m_wait_reason_texts.make(
            m_input.m_region, m_input.m_ranges,
            allowed_resources(*job.m_job, m_views.base()), spec.m_shape,
            non_preemptible);
    }
    add_wait_reason(job, *text, expected_start);
}

void planning_pass::add_wait_reason(const ordered_job& job, std::string text,
                                    instant expected_start)
{
    m_plan.m_wait_reasons.push_back(
        {job.m_job->m_spec.m_key, std::move(text), expected_start});
}

} // namespace kingcuprudder
