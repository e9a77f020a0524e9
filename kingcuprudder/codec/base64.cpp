#include <kingcuprudder/codec/base64.hpp>

#include <array>
#include <cstdint>

namespace kingcuprudder
{

namespace
{

constexpr std::string_view alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::uint8_t invalid_digit = 0xff;

constexpr std::array<std::uint8_t, 256> make_digit_table()
{
    std::array<std::uint8_t, 256> digits{};
    digits.fill(invalid_digit);
    for (std::size_t i = 0; i < alphabet.size(); ++i)
    {
        digits[static_cast<unsigned char>(alphabet[i])] =
            static_cast<std::uint8_t>(i);
    }
    return digits;
}

constexpr std::array<std::uint8_t, 256> digits = make_digit_table();

} // namespace

std::string to_base64(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            const auto byte =
                k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U;
            group = group << 8 | byte;
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            const auto digit = group >> (18 - 6 * k) & 63U;
            text.push_back(k <= count ? alphabet[digit] : '=');
        }
    }
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.size() % 4 != 0)
    {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() &&
           text[text.size() - 1 - padding] == '=')
    {
        ++padding;
    }
    const std::string_view body = text.substr(0, text.size() - padding);
    std::string bytes;
    bytes.reserve(body.size() * 3 / 4);
    std::uint32_t group = 0;
    int bits = 0;
    for (const char each : body)
    {
        const auto digit = digits[static_cast<unsigned char>(each)];
        if (digit == invalid_digit)
        {
            return std::nullopt;
        }
        group = (group << 6 | digit) & 0xffffffU;
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            bytes.push_back(static_cast<char>(group >> bits & 0xffU));
        }
    }
    return bytes;
}

} // namespace kingcuprudder
