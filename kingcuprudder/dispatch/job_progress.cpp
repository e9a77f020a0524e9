#include <kingcuprudder/dispatch/job_progress.hpp>

#include <array>
#include <utility>

namespace kingcuprudder::dispatch
{

namespace
{

constexpr std::array<std::pair<job_state, std::string_view>, 5> state_names = {{
    {job_state::queued, "queued"},
    {job_state::running, "running"},
    {job_state::completed, "completed"},
    {job_state::failed, "failed"},
    {job_state::cancelled, "cancelled"},
}};

// Workers crash for other reasons too, so that fewer alone prove nothing.
constexpr int max_workers_ended = 5;

} // namespace

std::string_view to_string(job_state state)
{
    for (const auto& [value, name] : state_names)
    {
        if (value == state)
        {
            return name;
        }
    }
    return "unknown";
}

std::optional<job_state> job_state_from_string(std::string_view name)
{
    for (const auto& [value, text] : state_names)
    {
        if (text == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

bool task_progress::crashes_workers() const
{
    return m_crashes.is_conclusive() || m_workers_ended >= max_workers_ended;
}

bool is_final(job_state state)
{
    return state != job_state::queued && state != job_state::running;
}

} // namespace kingcuprudder::dispatch
