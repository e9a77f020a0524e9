#ifndef KINGCUPRUDDER_SETTINGS_SETTINGS_JSON_SCHEMA_HPP
#define KINGCUPRUDDER_SETTINGS_SETTINGS_JSON_SCHEMA_HPP

#include <string>

namespace kingcuprudder
{

/// Returns the JSON Schema (2020-12) of the settings tree as indented text,
/// with the bounds, units and built-in defaults that the checks use.
std::string settings_json_schema();

} // namespace kingcuprudder

#endif
