#ifndef KINGCUPRUDDER_SETTINGS_RESOLVE_SETTINGS_HPP
#define KINGCUPRUDDER_SETTINGS_RESOLVE_SETTINGS_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// Checks a settings tree in JSON and resolves the effective settings of one
/// region. Returns error_code::invalid_settings with every problem found.
result<effective_settings> resolve_settings(std::string_view tree,
                                            const region_id& region,
                                            std::uint64_t revision);

/// Resolves the effective settings of a region. The structure of the tree must
/// have been checked.
effective_settings resolve_checked_settings(const nlohmann::json& tree,
                                            const region_id& region,
                                            std::uint64_t revision);

/// One effective value and the level of the tree that sets it.
struct settings_origin
{
    std::string m_path;  ///< Below the region, such as "accounts.a.priority".
    std::string m_value; ///< JSON text.
    std::string m_level; ///< Path of the level, or "built-in default".

    friend auto operator<=>(const settings_origin&,
                            const settings_origin&) = default;
};

/// Returns every effective value of one region with the level that sets it.
result<std::vector<settings_origin>> explain_settings(std::string_view tree,
                                                      const region_id& region);

} // namespace kingcuprudder

#endif
