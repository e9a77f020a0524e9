#ifndef KINGCUPRUDDER_CODEC_CODEC_HPP
#define KINGCUPRUDDER_CODEC_CODEC_HPP

#include <kingcuprudder/base/error.hpp>

#include <string>
#include <string_view>

namespace kingcuprudder
{

/// Encodes a value as CBOR, the format of stored records and of messages
/// between processes of the project. Instantiated in codec.cpp for the types
/// that are stored or sent as whole messages.
template <class T>
std::string to_cbor(const T& value);

/// Decodes a value. Fails with error_code::malformed when the CBOR data does
/// not match the type.
template <class T>
result<T> from_cbor(std::string_view bytes);

/// Encodes a value as JSON text.
template <class T>
std::string to_json_text(const T& value);

/// Decodes a value. Fails with error_code::malformed when the JSON text does
/// not match the type.
template <class T>
result<T> from_json_text(std::string_view text);

} // namespace kingcuprudder

#endif
