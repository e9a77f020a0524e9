#ifndef KINGCUPRUDDER_SETTINGS_SETTINGS_EDIT_HPP
#define KINGCUPRUDDER_SETTINGS_SETTINGS_EDIT_HPP

#include <kingcuprudder/base/error.hpp>

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// One value that differs between two trees. Values are JSON text.
struct settings_difference
{
    std::string m_path;
    std::optional<std::string> m_before; ///< Empty when it was added.
    std::optional<std::string> m_after;  ///< Empty when it was removed.

    friend auto operator<=>(const settings_difference&,
                            const settings_difference&) = default;
};

/// Returns the tree with the value at a dotted path replaced. The value is JSON
/// text; text that is not JSON is stored as a string. A client account, job
/// class, service or region that does not exist is added only when the path
/// ends with its name, so that a misspelt name within a path does not add an
/// entry.
result<std::string> with_setting(std::string_view tree, std::string_view path,
                                 std::string_view value);

/// Returns the tree without the value at a dotted path, which must be present.
result<std::string> without_setting(std::string_view tree,
                                    std::string_view path);

/// Returns the indented JSON text of the value at a dotted path; an empty path
/// selects the whole tree.
result<std::string> setting_at(std::string_view tree, std::string_view path);

/// Returns the differences between two trees, down to single values, in the
/// order of their paths. The lists of changes are not compared. Both trees must
/// be JSON.
std::vector<settings_difference> settings_differences(std::string_view before,
                                                      std::string_view after);

/// Formats differences as lines "path: before -> after".
std::string to_text(const std::vector<settings_difference>& differences);

} // namespace kingcuprudder

#endif
