#ifndef KINGCUPRUDDER_SETTINGS_SETTINGS_JSON_HPP
#define KINGCUPRUDDER_SETTINGS_SETTINGS_JSON_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace kingcuprudder
{

/// Parses JSON text. Throws an exception derived from std::exception that names
/// the position of a syntax error, or a key that is duplicate in one object:
/// one of its two values would otherwise be dropped silently.
nlohmann::json parse_json_without_duplicates(std::string_view text);

/// Returns the member with this key, or an empty object when there is none.
const nlohmann::json& member_or_empty(const nlohmann::json& object,
                                      std::string_view key);

/// Joins a path and the name of a member.
std::string member_path(std::string_view path, std::string_view name);

} // namespace kingcuprudder

#endif
