#include <kingcuprudder/dispatch/crash_evidence.hpp>

#include <algorithm>

namespace kingcuprudder::dispatch
{

namespace
{

// Conclusive are three certain crashes, two and a possible one, or five
// possible ones: workers crash for other reasons too, and two of these may well
// follow the starts of one task.
constexpr int certain_weight = 4;
constexpr int possible_weight = 2;
constexpr int conclusive_weight = 10;

} // namespace

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
}

bool crash_evidence::is_conclusive() const
{
    return certain_weight * m_certain + possible_weight * m_possible >=
           conclusive_weight;
}

} // namespace kingcuprudder::dispatch
