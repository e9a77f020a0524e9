#ifndef KINGCUPRUDDER_CODEC_PEER_MESSAGE_HPP
#define KINGCUPRUDDER_CODEC_PEER_MESSAGE_HPP

#include <kingcuprudder/base/error.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace kingcuprudder
{

/// A message between two processes of the project: its content and the revision
/// of the sender's settings, which tells a receiver with an older revision that
/// newer settings exist.
struct peer_message
{
    std::uint64_t m_settings_revision = 0; ///< 0 before the first settings.
    std::string m_content;

    friend auto operator<=>(const peer_message&, const peer_message&) = default;
};

/// Encodes a message as a CBOR array of the revision and a byte string.
std::string encode_peer_message(const peer_message& message);

/// Decodes a message. Fails with error_code::malformed when the bytes are
/// invalid.
result<peer_message> decode_peer_message(std::string_view bytes);

} // namespace kingcuprudder

#endif
