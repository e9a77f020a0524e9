#include <kingcuprudder/runtime/connection_budget.hpp>

#include <algorithm>

namespace kingcuprudder
{

namespace
{

// Connections that are ending may exceed the limit by this part of it.
constexpr std::size_t ending_share = 8;

/// Whether a connection can be dropped for the bytes that it holds.
bool is_droppable(const connection_usage& usage)
{
    return usage.m_phase != connection_phase::handling &&
           usage.m_phase != connection_phase::ending &&
           usage.m_bytes > connection_budget::ordinary_request_bytes;
}

/// The bytes times the milliseconds for which they were held.
double cost_of(const connection_usage& usage, instant now)
{
    const auto held_for = static_cast<double>((now - usage.m_since).count());
    return static_cast<double>(usage.m_bytes) * std::max(held_for, 1.0);
}

} // namespace

connection_budget::connection_budget(const connection_budget_limits& limits)
    : m_limits(limits)
{
}

void connection_budget::update(connection_id id, const connection_usage& usage)
{
    connection_usage& known = m_usages[id];
    m_held_bytes += usage.m_bytes - known.m_bytes;
    known = usage;
}

void connection_budget::remove(connection_id id)
{
    const auto found = m_usages.find(id);
    if (found != m_usages.end())
    {
        m_held_bytes -= found->second.m_bytes;
        m_usages.erase(found);
    }
}

std::optional<connection_budget::connection_id>
connection_budget::over_bytes(instant now) const
{
    if (m_held_bytes <= m_limits.m_max_bytes)
    {
        return std::nullopt;
    }
    std::optional<connection_id> costliest;
    double most = 0;
    std::size_t droppable = 0;
    for (const auto& [id, usage] : m_usages)
    {
        if (!is_droppable(usage))
        {
            continue;
        }
        ++droppable;
        const double cost = cost_of(usage, now);
        if (cost > most)
        {
            most = cost;
            costliest = id;
        }
    }
    return droppable > 1 ? costliest : std::nullopt;
}

std::optional<connection_budget::connection_id>
connection_budget::over_count() const
{
    if (m_usages.size() < m_limits.m_max_connections)
    {
        return std::nullopt;
    }
    const auto idle = oldest(connection_phase::idle);
    return idle ? idle : oldest(connection_phase::receiving);
}

bool connection_budget::is_full() const
{
    return m_usages.size() > m_limits.m_max_connections +
                                 m_limits.m_max_connections / ending_share;
}

std::optional<connection_budget::connection_id>
connection_budget::longest_unanswered() const
{
    const auto ending = oldest(connection_phase::ending);
    return ending ? ending
                  : oldest(
                        [](const connection_usage& usage)
                        {
                            return usage.m_phase != connection_phase::waiting &&
                                   usage.m_phase != connection_phase::handling;
                        });
}

std::optional<connection_budget::connection_id> connection_budget::oldest(
    const std::function<bool(const connection_usage&)>& applies) const
{
    std::optional<connection_id> found;
    instant since;
    for (const auto& [id, usage] : m_usages)
    {
        if (applies(usage) && (!found || usage.m_since < since))
        {
            found = id;
            since = usage.m_since;
        }
    }
    return found;
}

std::optional<connection_budget::connection_id>
connection_budget::oldest(connection_phase phase) const
{
    return oldest([phase](const connection_usage& usage)
                  { return usage.m_phase == phase; });
}

} // namespace kingcuprudder
