#ifndef KINGCUPRUDDER_DISPATCH_TASK_REF_HPP
#define KINGCUPRUDDER_DISPATCH_TASK_REF_HPP

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder::dispatch
{

/// Names one task of a job.
struct task_ref
{
    std::string m_job;
    int m_repeat = 0;
    int m_step = 0;
    int m_index = 0;

    /// "job.repeat.step.index".
    std::string str() const;
    /// "job.repeat.step".
    std::string step_str() const;
    /// Nothing when the text is not the name of a task.
    static std::optional<task_ref> parse(std::string_view text);

    friend auto operator<=>(const task_ref&, const task_ref&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
