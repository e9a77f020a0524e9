#ifndef KINGCUPRUDDER_CODEC_BASE64_HPP
#define KINGCUPRUDDER_CODEC_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// Encodes bytes as base64 with padding (RFC 4648).
std::string to_base64(std::string_view bytes);

/// Decodes base64 with padding. Returns nothing when the text is invalid.
std::optional<std::string> from_base64(std::string_view text);

} // namespace kingcuprudder

#endif
