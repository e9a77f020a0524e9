#ifndef KINGCUPRUDDER_SETTINGS_SETTINGS_JSON_HPP
#define KINGCUPRUDDER_SETTINGS_SETTINGS_JSON_HPP

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace kingcuprudder
{

/// Parses JSON text. Throws std::runtime_error with the place of the fault;
/// a duplicate key in one object is a fault, since one of its two
/// values would be dropped silently.
nlohmann::json parse_json_without_duplicates(std::string_view text);

/// The member with this key, or an empty object when there is none.
const nlohmann::json& member_or_empty(const nlohmann::json& object,
                                      std::string_view key);

/// Joins a path and the name of a member.
std::string member_path(std::string_view path, std::string_view name);

} // namespace kingcuprudder

#endif
