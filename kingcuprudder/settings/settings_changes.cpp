#include <kingcuprudder/settings/settings_changes.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

constexpr int indentation = 2;

json encode_change(const settings_change& change)
{
    return {{"number", change.m_number},
            {"id", change.m_id},
            {"by", change.m_by},
            {"at_ms", change.m_at.count()}};
}

settings_change decode_change(const json& value)
{
    return {value.at("number").get<std::uint64_t>(),
            value.at("id").get<std::string>(),
            value.at("by").get<std::string>(),
            instant(value.at("at_ms").get<std::int64_t>())};
}

} // namespace

std::vector<settings_change> listed_changes(std::string_view tree)
{
    const json root = json::parse(tree);
    std::vector<settings_change> changes;
    const auto list = root.find(std::string(changes_key));
    if (list != root.end())
    {
        for (const json& each : *list)
        {
            changes.push_back(decode_change(each));
        }
    }
    return changes;
}

std::string with_change(std::string_view tree, std::string_view base,
                        settings_change change)
{
    std::vector<settings_change> changes = listed_changes(base);
    change.m_number = changes.empty() ? 1 : changes.back().m_number + 1;
    changes.push_back(std::move(change));
    if (changes.size() > max_listed_changes)
    {
        changes.erase(changes.begin());
    }
    json root = json::parse(tree);
    json list = json::array();
    for (const settings_change& each : changes)
    {
        list.push_back(encode_change(each));
    }
    root[std::string(changes_key)] = std::move(list);
    return root.dump(indentation);
}

} // namespace kingcuprudder
