#include <kingcuprudder/placement/layout_builder.hpp>
#include <kingcuprudder/placement/tight_fit.hpp>

#include <algorithm>
#include <numeric>
#include <tuple>

namespace kingcuprudder
{

namespace
{

free_table usable_resources(const cluster& region)
{
    free_table table = total_resources(region);
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        if (!region.usable(i))
        {
            table[i] = {};
        }
    }
    return table;
}

} // namespace

layout_builder::layout_builder(const effective_settings& settings,
                               const cluster& region)
    : m_region(region), m_ranges(region)
{
    for (const auto& [account, values] : settings.m_accounts)
    {
        std::uint32_t number = 0;
        for (const guarantee& each : values.m_guarantees)
        {
            for (std::uint32_t i = 0; i < each.m_count; ++i)
            {
                m_demands.push_back({account, values.m_priority, number++,
                                     each.m_shape, std::nullopt});
            }
        }
    }
}

std::vector<std::size_t> layout_builder::priority_order() const
{
    std::vector<std::size_t> order(m_demands.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t left, std::size_t right)
              {
                  const demand& a = m_demands[left];
                  const demand& b = m_demands[right];
                  return std::tie(b.m_priority, a.m_account, a.m_number) <
                         std::tie(a.m_priority, b.m_account, b.m_number);
              });
    return order;
}

std::vector<std::size_t> layout_builder::size_order() const
{
    std::vector<std::size_t> order = priority_order();
    std::stable_sort(
        order.begin(), order.end(),
        [&](std::size_t left, std::size_t right)
        {
            const shape& a = m_demands[left].m_shape;
            const shape& b = m_demands[right].m_shape;
            return std::make_tuple(b.accelerators(), b.m_tasks, a.m_proximity) <
                   std::make_tuple(a.accelerators(), a.m_tasks, b.m_proximity);
        });
    return order;
}

bool layout_builder::pack(const std::vector<std::size_t>& order)
{
    bool complete = true;
    contiguous_packer packer(m_ranges);
    for (std::size_t number : order)
    {
        demand& each = m_demands[number];
        if (each.m_placement.has_value())
        {
            continue;
        }
        each.m_placement = packer.place(m_available, each.m_shape);
        if (each.m_placement.has_value())
        {
            subtract_resources(m_available, each.m_shape, *each.m_placement);
        }
        else
        {
            complete = false;
        }
    }
    return complete;
}

void layout_builder::lay_out_on_empty_cluster()
{
    m_available = total_resources(m_region);
    if (pack(size_order()))
    {
        return;
    }
    for (demand& each : m_demands)
    {
        each.m_placement.reset();
    }
    m_available = total_resources(m_region);
    pack(priority_order());
}

std::vector<running_entry> layout_builder::non_preemptible_jobs(
    const std::vector<running_job>& running) const
{
    std::vector<running_job> chosen;
    std::copy_if(running.begin(), running.end(), std::back_inserter(chosen),
                 [](const running_job& each) {
                     return !can_be_preempted(each.m_spec) && !each.m_stopping;
                 });
    running_table table;
    table.synchronize(m_region, chosen);
    return table.entries();
}

std::vector<bool>
layout_builder::match_jobs_to_slots(std::vector<running_entry>& jobs) const
{
    std::map<account_id, std::vector<std::size_t>> numbers;
    for (std::size_t i = 0; i < m_demands.size(); ++i)
    {
        numbers[m_demands[i].m_account].push_back(i);
    }
    std::vector<bool> held(m_demands.size(), false);
    for (running_entry& job : jobs)
    {
        for (std::size_t i : numbers[job.m_key.m_account])
        {
            const demand& each = m_demands[i];
            if (!held[i] && each.m_placement.has_value() &&
                runs_in_slot({each.m_account, each.m_shape, *each.m_placement},
                             job.m_shape, job.m_placement))
            {
                held[i] = true;
                job.m_slot = i;
                break;
            }
        }
    }
    return held;
}

void layout_builder::assign_running_job(demand& unplaced,
                                        std::vector<running_entry>& jobs) const
{
    for (running_entry& job : jobs)
    {
        if (job.m_slot == running_entry::no_slot &&
            job.m_key.m_account == unplaced.m_account &&
            covers(unplaced.m_shape, job.m_shape))
        {
            job.m_slot = 0;
            unplaced.m_shape = job.m_shape;
            unplaced.m_placement = job.m_placement;
            return;
        }
    }
}

void layout_builder::keep_slots(const std::vector<bool>& held, bool only_held)
{
    // Slots with a running non-preemptible job come first, as they cannot be
    // moved.
    for (bool with_holder : {true, false})
    {
        for (std::size_t number : priority_order())
        {
            demand& each = m_demands[number];
            if (held[number] != with_holder || !each.m_placement.has_value())
            {
                continue;
            }
            if (with_holder || (!only_held && is_free(m_available, each.m_shape,
                                                      *each.m_placement)))
            {
                subtract_resources(m_available, each.m_shape,
                                   *each.m_placement);
            }
            else
            {
                each.m_placement.reset();
            }
        }
    }
}

void layout_builder::repair(const std::vector<running_job>& running)
{
    std::vector<running_entry> jobs = non_preemptible_jobs(running);
    std::vector<bool> held = match_jobs_to_slots(jobs);
    free_table around = usable_resources(m_region);
    for (const running_entry& job : jobs)
    {
        if (job.m_slot == running_entry::no_slot)
        {
            subtract_resources(around, job.m_shape, job.m_placement);
        }
    }
    std::vector<std::size_t> order = priority_order();
    m_available = around;
    keep_slots(held, false);
    if (!pack(order))
    {
        // Without capacity for all, accounts of higher priority take precedence
        // even over slots that could have stayed in place.
        m_available = around;
        keep_slots(held, true);
        pack(order);
    }
    for (std::size_t number : order)
    {
        if (!m_demands[number].m_placement.has_value())
        {
            assign_running_job(m_demands[number], jobs);
        }
    }
}

guarantee_layout layout_builder::finish() const
{
    guarantee_layout layout;
    layout.m_guaranteed.resize(m_region.size());
    for (std::size_t number : priority_order())
    {
        const demand& each = m_demands[number];
        if (each.m_placement.has_value())
        {
            layout.m_slots_of[each.m_account].push_back(layout.m_slots.size());
            layout.m_slots.push_back(
                {each.m_account, each.m_shape, *each.m_placement});
            for (const indexed_allocation& part : *each.m_placement)
            {
                add_resources(layout.m_guaranteed, each.m_shape, part);
            }
            continue;
        }
        auto& shortfalls = layout.m_shortfalls;
        if (!shortfalls.empty() &&
            shortfalls.back().m_account == each.m_account &&
            shortfalls.back().m_shape == each.m_shape)
        {
            ++shortfalls.back().m_missing;
        }
        else
        {
            shortfalls.push_back({each.m_account, each.m_shape, 1});
        }
    }
    return layout;
}

} // namespace kingcuprudder
