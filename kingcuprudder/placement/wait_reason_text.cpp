#include <kingcuprudder/placement/tight_fit.hpp>
#include <kingcuprudder/placement/wait_reason_text.hpp>

namespace kingcuprudder
{

namespace
{

std::string name_of(const cluster& region, const worker_ranges& ranges,
                    proximity value, std::size_t range)
{
    const worker& first = region.worker_at(ranges.of(value)[range].m_first);
    switch (value)
    {
    case proximity::worker:
        return "worker " + first.m_id.str();
    case proximity::rack:
        return "rack " + first.m_rack.str() + " of zone " + first.m_zone.str();
    case proximity::zone:
        return "zone " + first.m_zone.str();
    case proximity::region:
        return "the region";
    }
    return "the region";
}

std::string make_text(const cluster& region, const worker_ranges& ranges,
                      const free_table& table, const shape& needed,
                      bool non_preemptible)
{
    if (region.size() == 0)
    {
        return "the region has no workers";
    }
    range_capacity capacity = range_with_most_capacity(table, ranges, needed);
    std::string text = "needs " + describe(needed) + "; ";
    if (capacity.m_tasks >= needed.m_tasks)
    {
        text += "the free capacity is reserved for jobs that wait longer";
    }
    else
    {
        text += "lacks capacity for " +
                std::to_string(needed.m_tasks - capacity.m_tasks) + " of " +
                std::to_string(needed.m_tasks) + " tasks in " +
                name_of(region, ranges, needed.m_proximity, capacity.m_range);
    }
    if (non_preemptible)
    {
        text += "; cannot be stopped, so other accounts' guaranteed "
                "accelerators are not used";
    }
    return text;
}

} // namespace

const std::string* wait_reason_texts::find(const shape& needed,
                                           bool non_preemptible) const
{
    auto found = m_texts.find({needed, non_preemptible});
    return found == m_texts.end() ? nullptr : &found->second;
}

const std::string& wait_reason_texts::make(const cluster& region,
                                           const worker_ranges& ranges,
                                           const free_table& table,
                                           const shape& needed,
                                           bool non_preemptible)
{
    std::string& text = m_texts[{needed, non_preemptible}];
    text = make_text(region, ranges, table, needed, non_preemptible);
    return text;
}

} // namespace kingcuprudder
