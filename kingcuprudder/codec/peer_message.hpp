#ifndef KINGCUPRUDDER_CODEC_PEER_MESSAGE_HPP
#define KINGCUPRUDDER_CODEC_PEER_MESSAGE_HPP

#include <kingcuprudder/base/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// What one process of the project sends to another: the revision of the
/// sender's settings and the content. The side that is behind learns of newer
/// settings from it.
struct peer_message
{
    std::uint64_t m_settings_revision = 0; ///< 0 before the first settings.
    std::string m_content;

    friend auto operator<=>(const peer_message&, const peer_message&) = default;
};

/// The CBOR form of a message: an array of the revision and a byte string.
std::string encode_peer_message(const peer_message& message);

/// Decodes a CBOR form; error_code::malformed when it is none.
result<peer_message> decode_peer_message(std::string_view bytes);

} // namespace kingcuprudder

#endif
