#include <kingcuprudder/settings/settings_json.hpp>

#include <nlohmann/json.hpp>

#include <set>
#include <stdexcept>
#include <vector>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

/// A parser callback that rejects duplicate keys in one object.
class duplicate_key_check
{
public:
    bool operator()(int, json::parse_event_t event, json& value)
    {
        if (event == json::parse_event_t::object_start)
        {
            m_open_objects.emplace_back();
        }
        else if (event == json::parse_event_t::object_end)
        {
            m_open_objects.pop_back();
        }
        else if (event == json::parse_event_t::key)
        {
            add_key(value.get<std::string>());
        }
        return true;
    }

private:
    void add_key(const std::string& key)
    {
        if (!m_open_objects.back().insert(key).second)
        {
            throw std::runtime_error("the key '" + key +
                                     "' is given twice in one object");
        }
    }

    std::vector<std::set<std::string>> m_open_objects;
};

} // namespace

json parse_json_without_duplicates(std::string_view text)
{
    duplicate_key_check check;
    return json::parse(
        text, [&check](int depth, json::parse_event_t event, json& value)
        { return check(depth, event, value); });
}

const json& member_or_empty(const json& object, std::string_view key)
{
    static const json empty = json::object();
    if (!object.is_object())
    {
        return empty;
    }
    const auto found = object.find(std::string(key));
    return found == object.end() ? empty : *found;
}

std::string member_path(std::string_view path, std::string_view name)
{
    std::string joined(path);
    if (!joined.empty())
    {
        joined += '.';
    }
    joined += name;
    return joined;
}

} // namespace kingcuprudder
