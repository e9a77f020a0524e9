#include <kingcuprudder/codec/peer_message.hpp>

#include <nlohmann/json.hpp>

namespace kingcuprudder
{

using json = nlohmann::json;

std::string encode_peer_message(const peer_message& message)
{
    const json form =
        json::array({message.m_settings_revision,
                     json::binary(std::vector<std::uint8_t>(
                         message.m_content.begin(), message.m_content.end()))});
    std::string bytes;
    json::to_cbor(form, bytes);
    return bytes;
}

result<peer_message> decode_peer_message(std::string_view bytes)
{
    try
    {
        const json form = json::from_cbor(bytes);
        const auto& content = form.at(1).get_binary();
        return peer_message{form.at(0).get<std::uint64_t>(),
                            std::string(content.begin(), content.end())};
    }
    catch (const std::exception& problem)
    {
        return error{error_code::malformed, problem.what(), verdict::not_run};
    }
}

} // namespace kingcuprudder
