#ifndef KINGCUPRUDDER_SETTINGS_CHECK_SETTINGS_HPP
#define KINGCUPRUDDER_SETTINGS_CHECK_SETTINGS_HPP

#include <kingcuprudder/base/error.hpp>

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// One problem of a settings tree and the path of the invalid value.
struct settings_problem
{
    std::string m_path;
    std::string m_message;

    friend auto operator<=>(const settings_problem&,
                            const settings_problem&) = default;
};

/// Returns every problem of a settings tree, in the order of the tree; empty
/// for a valid tree.
std::vector<settings_problem> check_settings(std::string_view tree);

/// Returns the parsed tree, or error_code::invalid_settings with one line for
/// each problem.
result<nlohmann::json> parse_settings(std::string_view tree);

/// Whether the text is a JSON object with a valid list of changes, so that an
/// editor can change it. Its settings may still have problems.
bool is_editable_settings_document(std::string_view text);

/// Formats problems as lines "path: message".
std::string to_text(const std::vector<settings_problem>& problems);

} // namespace kingcuprudder

#endif
