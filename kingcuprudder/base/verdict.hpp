#ifndef KINGCUPRUDDER_BASE_VERDICT_HPP
#define KINGCUPRUDDER_BASE_VERDICT_HPP

#include <optional>
#include <string_view>

namespace kingcuprudder
{

/// Whether a request or job has run.
enum class verdict
{
    not_run,      ///< It did not run and will not run for this call.
    may_have_run, ///< Whether it ran, wholly or in part, is unknown.
    ran,          ///< It ran to completion.
};

std::string_view to_string(verdict value);
std::optional<verdict> verdict_from_string(std::string_view name);

} // namespace kingcuprudder

#endif
