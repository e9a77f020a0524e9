#ifndef STAND_INS_CRASH_RECORD_HPP
#define STAND_INS_CRASH_RECORD_HPP

#include <map>
#include <string>
#include <vector>

namespace kingcuprudder::stand_ins
{

/// Records the starts of tasks and the crashes of workers under them. Reports a
/// task that crashes its workers and exceeds the budget for such tasks.
class crash_record
{
public:
    void note_start(const std::string& task, bool crashes_workers);
    /// Records that a worker crashed while it ran the task.
    void note_crash(const std::string& task);

    int starts(const std::string& task) const;
    int crashes(const std::string& task) const;
    /// Returns a message for each task that exceeded the budget (BUDGET).
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    struct counts
    {
        int m_starts = 0;
        int m_crashes = 0;
        int m_starts_beyond = 0; ///< Starts after the last allowed crash.
    };

    std::map<std::string, counts> m_tasks;
    std::vector<std::string> m_violations;
};

} // namespace kingcuprudder::stand_ins

#endif
