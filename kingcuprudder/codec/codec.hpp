#ifndef KINGCUPRUDDER_CODEC_CODEC_HPP
#define KINGCUPRUDDER_CODEC_CODEC_HPP

#include <kingcuprudder/base/error.hpp>

#include <string>
#include <string_view>

namespace kingcuprudder
{

/// The CBOR form of a value, used in the store and between own processes.
/// Instantiated in codec.cpp for the types that travel as whole messages.
template <class T>
std::string to_cbor(const T& value);

/// Decodes a CBOR form; error_code::malformed when it does not match.
template <class T>
result<T> from_cbor(std::string_view bytes);

/// The JSON text of a value.
template <class T>
std::string to_json_text(const T& value);

/// Decodes JSON text; error_code::malformed when it does not match.
template <class T>
result<T> from_json_text(std::string_view text);

} // namespace kingcuprudder

#endif
