#include <kingcuprudder/service/settings_history_codec.hpp>

#include <nlohmann/json.hpp>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

/// The store accepts values up to 1 MB; the remainder is reserved for its own
/// encoding.
constexpr std::size_t max_entry_bytes = 700000;

json encode_optional(const std::optional<std::string>& text)
{
    return text ? json(*text) : json();
}

std::optional<std::string> decode_optional(const json& value)
{
    return value.is_null() ? std::nullopt
                           : std::optional(value.get<std::string>());
}

json encode_difference(const settings_difference& difference)
{
    return {{"path", difference.m_path},
            {"before", encode_optional(difference.m_before)},
            {"after", encode_optional(difference.m_after)}};
}

settings_history_entry decode_entry(const json& value)
{
    settings_history_entry entry;
    entry.m_change = {value.at("number").get<std::uint64_t>(),
                      value.at("id").get<std::string>(),
                      value.at("by").get<std::string>(),
                      instant(value.at("at_ms").get<std::int64_t>())};
    entry.m_revision = value.at("revision").get<store_revision>();
    for (const json& each : value.at("differences"))
    {
        entry.m_differences.push_back({each.at("path").get<std::string>(),
                                       decode_optional(each.at("before")),
                                       decode_optional(each.at("after"))});
    }
    return entry;
}

} // namespace

std::string encode_history_entry(const settings_history_entry& entry)
{
    json value = {{"number", entry.m_change.m_number},
                  {"id", entry.m_change.m_id},
                  {"by", entry.m_change.m_by},
                  {"at_ms", entry.m_change.m_at.count()},
                  {"revision", entry.m_revision},
                  {"differences", json::array()}};
    for (const settings_difference& each : entry.m_differences)
    {
        value["differences"].push_back(encode_difference(each));
    }
    std::string text = value.dump();
    if (text.size() > max_entry_bytes)
    {
        value["differences"] = json::array();
        text = value.dump();
    }
    return text;
}

std::optional<settings_history_entry>
decode_history_entry(std::string_view text)
{
    try
    {
        return decode_entry(json::parse(text));
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

} // namespace kingcuprudder
