#ifndef KINGCUPRUDDER_DISPATCH_TASK_REF_HPP
#define KINGCUPRUDDER_DISPATCH_TASK_REF_HPP

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder::dispatch
{

/// Identifies one task of a job.
struct task_ref
{
    std::string m_job;
    int m_repeat = 0;
    int m_step = 0;
    int m_index = 0;

    /// Returns the text "job.repeat.step.index".
    std::string str() const;
    /// Returns the text "job.repeat.step".
    std::string step_str() const;
    /// Parses the text of str(); returns nothing if the text is malformed.
    static std::optional<task_ref> parse(std::string_view text);

    friend auto operator<=>(const task_ref&, const task_ref&) = default;
};

} // namespace kingcuprudder::dispatch

#endif
