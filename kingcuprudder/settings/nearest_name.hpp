#ifndef KINGCUPRUDDER_SETTINGS_NEAREST_NAME_HPP
#define KINGCUPRUDDER_SETTINGS_NEAREST_NAME_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// Returns the known name with the smallest edit distance to the given one, or
/// nothing when every known name is too different to be a misspelling of it.
std::optional<std::string> nearest_name(std::string_view name,
                                        const std::vector<std::string>& known);

/// Returns the text "unknown <kind> 'name'" with the nearest known name as a
/// suggestion, or with all known names when none is near.
std::string unknown_name_message(std::string_view kind, std::string_view name,
                                 const std::vector<std::string>& known);

} // namespace kingcuprudder

#endif
