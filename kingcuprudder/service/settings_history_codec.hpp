#ifndef KINGCUPRUDDER_SERVICE_SETTINGS_HISTORY_CODEC_HPP
#define KINGCUPRUDDER_SERVICE_SETTINGS_HISTORY_CODEC_HPP

#include <kingcuprudder/service/settings_editor.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// Returns a history entry as JSON text. Differences are omitted if they would
/// exceed the size limit of the store for a value.
std::string encode_history_entry(const settings_history_entry& entry);

/// Returns nullopt if the text is not a history entry.
std::optional<settings_history_entry>
decode_history_entry(std::string_view text);

} // namespace kingcuprudder

#endif
