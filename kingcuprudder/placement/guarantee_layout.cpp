#include <kingcuprudder/base/assert.hpp>
#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/placement/layout_builder.hpp>

#include <algorithm>

namespace kingcuprudder
{

namespace
{

/// The size of a shape in accelerators, or in tasks if it needs none.
std::uint32_t size_of(const shape& needed)
{
    return needed.accelerators() > 0 ? needed.accelerators() : needed.m_tasks;
}

const indexed_allocation* find_part(const indexed_placement& where,
                                    std::uint32_t worker)
{
    auto found = std::find_if(where.begin(), where.end(),
                              [&](const indexed_allocation& part)
                              { return part.m_worker == worker; });
    return found == where.end() ? nullptr : &*found;
}

} // namespace

std::string describe(const guarantee_shortfall& shortfall)
{
    return "account " + shortfall.m_account.str() + " lacks " +
           std::to_string(shortfall.m_missing) + " x (" +
           describe(shortfall.m_shape) + ")";
}

bool covers(const shape& guaranteed, const shape& needed)
{
    return needed.m_tasks <= guaranteed.m_tasks &&
           needed.m_accelerators_per_task <=
               guaranteed.m_accelerators_per_task &&
           needed.m_cores_per_task <= guaranteed.m_cores_per_task &&
           needed.m_memory_mb_per_task <= guaranteed.m_memory_mb_per_task &&
           needed.m_proximity >= guaranteed.m_proximity &&
           2 * size_of(needed) > size_of(guaranteed) &&
           (needed.accelerators() > 0) == (guaranteed.accelerators() > 0);
}

indexed_placement place_in_slot(const guarantee_slot& slot, const shape& needed)
{
    KCR_ASSERT(covers(slot.m_shape, needed));
    indexed_placement where;
    std::uint32_t missing = needed.m_tasks;
    for (const indexed_allocation& part : slot.m_placement)
    {
        std::uint32_t tasks = std::min(missing, part.m_tasks);
        if (tasks == 0)
        {
            break;
        }
        std::uint32_t count = tasks * needed.m_accelerators_per_task;
        where.push_back({part.m_worker, tasks,
                         choose_accelerators(part.m_accelerators, count)});
        missing -= tasks;
    }
    return where;
}

bool runs_in_slot(const guarantee_slot& slot, const shape& needed,
                  const indexed_placement& where)
{
    return covers(slot.m_shape, needed) && !where.empty() &&
           std::all_of(
               where.begin(), where.end(),
               [&](const indexed_allocation& part)
               {
                   const indexed_allocation* own =
                       find_part(slot.m_placement, part.m_worker);
                   return own != nullptr && part.m_tasks <= own->m_tasks &&
                          (part.m_accelerators & ~own->m_accelerators) == 0;
               });
}

guarantee_layout
guarantee_layout::build(const effective_settings& settings,
                        const cluster& region,
                        const std::vector<running_job>& running)
{
    layout_builder builder(settings, region);
    builder.lay_out_on_empty_cluster();
    builder.repair(running);
    return builder.finish();
}

const std::vector<std::size_t>&
guarantee_layout::slots_of(const account_id& account) const
{
    static const std::vector<std::size_t> none;
    auto found = m_slots_of.find(account);
    return found == m_slots_of.end() ? none : found->second;
}

free_table guarantee_layout::unguaranteed_resources(const cluster& region) const
{
    free_table table = total_resources(region);
    for (std::size_t i = 0; i < table.size(); ++i)
    {
        table[i] = without(table[i], m_guaranteed[i]);
    }
    return table;
}

std::vector<guarantee_shortfall>
check_guarantees(const effective_settings& settings,
                 const std::vector<worker>& workers)
{
    return guarantee_layout::build(settings, cluster(workers), {}).shortfalls();
}

} // namespace kingcuprudder
