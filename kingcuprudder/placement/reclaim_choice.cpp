#include <kingcuprudder/placement/reclaim_choice.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

namespace
{

const indexed_allocation& part_on(const running_entry& entry,
                                  std::uint32_t worker)
{
    return *std::find_if(entry.m_placement.begin(), entry.m_placement.end(),
                         [&](const indexed_allocation& part)
                         { return part.m_worker == worker; });
}

void add_resources_on(free_capacity& left, const running_entry& entry,
                      std::uint32_t worker)
{
    const indexed_allocation& part = part_on(entry, worker);
    left.m_accelerators |= part.m_accelerators;
    left.m_cores += part.m_tasks * entry.m_shape.m_cores_per_task;
    left.m_memory_mb += part.m_tasks * entry.m_shape.m_memory_mb_per_task;
}

} // namespace

reclaim_selector::reclaim_selector(const std::vector<running_entry>& running,
                                   free_table free, instant now)
    : m_running(running), m_free(std::move(free)), m_now(now),
      m_stopping(running.size(), false), m_entries_on(m_free.size())
{
    for (std::size_t i = 0; i < running.size(); ++i)
    {
        m_stopping[i] = running[i].m_stopping;
        for (const indexed_allocation& part : running[i].m_placement)
        {
            m_entries_on[part.m_worker].push_back(
                static_cast<std::uint32_t>(i));
            if (running[i].m_stopping)
            {
                add_resources(m_free, running[i].m_shape, part);
            }
        }
    }
}

void reclaim_selector::subtract_placed(const shape& needed,
                                       const indexed_placement& where)
{
    subtract_resources(m_free, needed, where);
}

bool reclaim_selector::may_preempt(std::size_t entry) const
{
    return m_running[entry].m_can_be_preempted &&
           m_running[entry].m_slot == running_entry::no_slot &&
           !m_stopping[entry];
}

bool reclaim_selector::add_victims(const indexed_allocation& part,
                                   const shape& needed,
                                   std::vector<std::size_t>& victims) const
{
    free_capacity left = m_free[part.m_worker];
    std::vector<std::pair<double, std::size_t>> others;
    for (std::size_t entry : m_entries_on[part.m_worker])
    {
        bool chosen =
            std::find(victims.begin(), victims.end(), entry) != victims.end();
        bool blocks_slot =
            (part_on(m_running[entry], part.m_worker).m_accelerators &
             part.m_accelerators & ~left.m_accelerators) != 0;
        if (chosen || (blocks_slot && may_preempt(entry)))
        {
            add_resources_on(left, m_running[entry], part.m_worker);
        }
        if (!chosen && blocks_slot && may_preempt(entry))
        {
            victims.push_back(entry);
        }
        else if (!chosen && may_preempt(entry))
        {
            others.emplace_back(m_running[entry].lost_work(m_now), entry);
        }
    }
    // Preempts further jobs while cores or memory do not suffice, those with
    // the least lost work first.
    std::sort(others.begin(), others.end());
    for (const auto& [lost, entry] : others)
    {
        if (can_allocate(left, needed, part))
        {
            break;
        }
        add_resources_on(left, m_running[entry], part.m_worker);
        victims.push_back(entry);
    }
    return can_allocate(left, needed, part);
}

std::optional<reclaim_choice>
reclaim_selector::choose_victims(const guarantee_slot& slot, std::size_t number,
                                 const shape& needed) const
{
    reclaim_choice choice{number, place_in_slot(slot, needed), {}, 0};
    for (const indexed_allocation& part : choice.m_placement)
    {
        if (!add_victims(part, needed, choice.m_victims))
        {
            return std::nullopt;
        }
    }
    for (std::size_t victim : choice.m_victims)
    {
        choice.m_lost_work += m_running[victim].lost_work(m_now);
    }
    return choice;
}

std::optional<reclaim_choice>
reclaim_selector::choose(const guarantee_layout& layout,
                         const std::vector<std::size_t>& slots,
                         const shape& needed) const
{
    std::optional<reclaim_choice> best;
    for (std::size_t number : slots)
    {
        auto choice = choose_victims(layout.slots()[number], number, needed);
        if (choice.has_value() &&
            (!best.has_value() || choice->m_lost_work < best->m_lost_work))
        {
            best = std::move(choice);
        }
    }
    return best;
}

void reclaim_selector::accept(const reclaim_choice& choice, const shape& needed)
{
    for (std::size_t victim : choice.m_victims)
    {
        m_stopping[victim] = true;
        for (const indexed_allocation& part : m_running[victim].m_placement)
        {
            add_resources(m_free, m_running[victim].m_shape, part);
        }
    }
    subtract_resources(m_free, needed, choice.m_placement);
}

} // namespace kingcuprudder
