#ifndef KINGCUPRUDDER_CODEC_BASE64_HPP
#define KINGCUPRUDDER_CODEC_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// The base64 text (RFC 4648, padded) of bytes.
std::string to_base64(std::string_view bytes);

/// The bytes of a base64 text; nothing when the text is not valid.
std::optional<std::string> from_base64(std::string_view text);

} // namespace kingcuprudder

#endif
