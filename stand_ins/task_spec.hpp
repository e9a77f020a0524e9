#ifndef STAND_INS_TASK_SPEC_HPP
#define STAND_INS_TASK_SPEC_HPP

#include <kingcuprudder/base/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace kingcuprudder::stand_ins
{

/// What a simulated task does. Read from a job's spec, which is either a list
/// of numbers, "DURATION_MS [GANG_SIZE [CRASHING_INDEX CRASH_DELAY_MS]]", or a
/// JSON object with the fields runMs, gang, cpu, memMb, gpu, saves and lasts.
struct task_spec
{
    span m_duration;
    int m_gang_size = 1;
    int m_gpus = 1;
    std::int64_t m_cpu = 0; ///< In thousandths of a core.
    std::int64_t m_memory_mb = 0;
    bool m_saves_progress = false;
    /// Whether the task works until it is stopped.
    bool m_persistent = false;
    /// The index of a task that crashes its minion, if there is one, and the
    /// time from its start to the crash.
    std::optional<int> m_crashing_index;
    span m_crash_delay;
};

/// Returns the content of a spec. Throws nlohmann::json::exception if the spec
/// begins like an object and is none.
task_spec parse_task_spec(const std::string& spec);

} // namespace kingcuprudder::stand_ins

#endif
