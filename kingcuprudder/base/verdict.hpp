#ifndef KINGCUPRUDDER_BASE_VERDICT_HPP
#define KINGCUPRUDDER_BASE_VERDICT_HPP

#include <optional>
#include <string_view>

namespace kingcuprudder
{

/// Says whether a request or job may have run.
enum class verdict
{
    not_run,      ///< It did not run and will not run for this call.
    may_have_run, ///< Its effects are unknown.
    ran,          ///< It ran to its end.
};

std::string_view to_string(verdict value);
std::optional<verdict> verdict_from_string(std::string_view name);

} // namespace kingcuprudder

#endif
