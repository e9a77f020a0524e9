#ifndef KINGCUPRUDDER_SETTINGS_RESOLVE_SETTINGS_HPP
#define KINGCUPRUDDER_SETTINGS_RESOLVE_SETTINGS_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <cstdint>
#include <string_view>

namespace kingcuprudder
{

/// Checks a settings tree in JSON and works out the effective settings of one
/// region. Returns error_code::invalid_settings with every problem found.
result<effective_settings> resolve_settings(std::string_view tree,
                                            const region_id& region,
                                            std::uint64_t revision);

} // namespace kingcuprudder

#endif
