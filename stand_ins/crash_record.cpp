#include <stand_ins/crash_record.hpp>

namespace kingcuprudder::stand_ins
{

namespace
{

// A task under which three workers have crashed is started at most twice more.
constexpr int conclusive_crashes = 3;
constexpr int max_starts_beyond = 2;

} // namespace

void crash_record::note_start(const std::string& task, bool crashes_workers)
{
    counts& each = m_tasks[task];
    ++each.m_starts;
    if (!crashes_workers || each.m_crashes < conclusive_crashes)
    {
        return;
    }
    ++each.m_starts_beyond;
    if (each.m_starts_beyond == max_starts_beyond + 1)
    {
        m_violations.push_back("BUDGET: " + task + " was started " +
                               std::to_string(each.m_starts_beyond) +
                               " times more after " +
                               std::to_string(conclusive_crashes) + " crashes");
    }
}

void crash_record::note_crash(const std::string& task)
{
    ++m_tasks[task].m_crashes;
}

int crash_record::starts(const std::string& task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.m_starts;
}

int crash_record::crashes(const std::string& task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.m_crashes;
}

} // namespace kingcuprudder::stand_ins
