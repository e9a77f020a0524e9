#include <kingcuprudder/dispatch/crash_evidence.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// Conclusive are three certain crashes, two with a lesser one, or a slight one
// and four possible ones: workers crash for other reasons too, and two of these
// may well follow the starts of one task.
constexpr int certain_weight = 4;
constexpr int possible_weight = 2;
constexpr int slight_weight = 1;
constexpr int conclusive_weight = 9;
// More crashes than this must not be, whatever their weight.
constexpr int conclusive_count = 5;

} // namespace

std::string_view to_string(crash_suspicion suspicion)
{
    switch (suspicion)
    {
    case crash_suspicion::none:
        return "none";
    case crash_suspicion::slight:
        return "slight";
    case crash_suspicion::possible:
        return "possible";
    case crash_suspicion::certain:
        return "certain";
    }
    return "unknown";
}

int weight_of(crash_suspicion suspicion)
{
    switch (suspicion)
    {
    case crash_suspicion::certain:
        return certain_weight;
    case crash_suspicion::possible:
        return possible_weight;
    case crash_suspicion::slight:
        return slight_weight;
    case crash_suspicion::none:
        return 0;
    }
    return 0;
}

void crash_evidence::add(crash_suspicion suspicion, int count)
{
    if (suspicion == crash_suspicion::certain)
    {
        m_certain = std::max(0, m_certain + count);
    }
    else if (suspicion == crash_suspicion::possible)
    {
        m_possible = std::max(0, m_possible + count);
    }
    else if (suspicion == crash_suspicion::slight)
    {
        m_slight = std::max(0, m_slight + count);
    }
}

bool crash_evidence::is_conclusive() const
{
    const int weight = certain_weight * m_certain +
                       possible_weight * m_possible + slight_weight * m_slight;
    const int count = m_certain + m_possible + m_slight;
    return weight >= conclusive_weight || count >= conclusive_count;
}

} // namespace kingcuprudder::dispatch
