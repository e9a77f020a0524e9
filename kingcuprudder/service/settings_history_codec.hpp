#ifndef KINGCUPRUDDER_SERVICE_SETTINGS_HISTORY_CODEC_HPP
#define KINGCUPRUDDER_SERVICE_SETTINGS_HISTORY_CODEC_HPP

#include <kingcuprudder/service/settings_editor.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// The JSON text of a history entry. Differences that would take it above the
/// store's limit for a value are left out.
std::string encode_history_entry(const settings_history_entry& entry);

/// Nothing when the text is not a history entry.
std::optional<settings_history_entry>
decode_history_entry(std::string_view text);

} // namespace kingcuprudder

#endif
