#include <kingcuprudder/service/entry_json.hpp>
#include <kingcuprudder/service/entry_strict_object.hpp>
#include <kingcuprudder/settings/nearest_name.hpp>

#include <algorithm>
#include <utility>

namespace kingcuprudder
{

strict_object::strict_object(const nlohmann::json& json, std::string path,
                             const std::vector<std::string>& known)
    : m_json(json), m_path(std::move(path))
{
    if (!json.is_object())
    {
        throw strict_json_error((m_path.empty() ? "the body" : m_path) +
                                " must be a JSON object");
    }
    for (const auto& [name, value] : json.items())
    {
        if (std::find(known.begin(), known.end(), name) == known.end())
        {
            throw strict_json_error(
                unknown_name_message("field", path_of(name.c_str()), known));
        }
    }
}

std::string strict_object::path_of(const char* name) const
{
    return m_path.empty() ? name : m_path + "." + name;
}

const nlohmann::json* strict_object::find(const char* name) const
{
    auto found = m_json.find(name);
    return found == m_json.end() ? nullptr : &*found;
}

const nlohmann::json& strict_object::required(const char* name) const
{
    const nlohmann::json* found = find(name);
    if (found == nullptr)
    {
        throw strict_json_error("missing field '" + path_of(name) + "'");
    }
    return *found;
}

std::optional<std::string> strict_object::text(const char* name) const
{
    const nlohmann::json* found = find(name);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    if (!found->is_string())
    {
        throw strict_json_error("'" + path_of(name) + "' must be a string");
    }
    return found->get<std::string>();
}

std::optional<bool> strict_object::boolean(const char* name) const
{
    const nlohmann::json* found = find(name);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    if (!found->is_boolean())
    {
        throw strict_json_error("'" + path_of(name) +
                                "' must be true or false");
    }
    return found->get<bool>();
}

std::optional<std::int64_t> strict_object::integer(const char* name,
                                                   std::int64_t min,
                                                   std::int64_t max) const
{
    const nlohmann::json* found = find(name);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    const bool fits =
        found->is_number_unsigned()
            ? found->get<std::uint64_t>() <= static_cast<std::uint64_t>(max)
            : found->is_number_integer();
    if (!fits || found->get<std::int64_t>() < min ||
        found->get<std::int64_t>() > max)
    {
        throw strict_json_error(
            "'" + path_of(name) + "' must be an integer from " +
            std::to_string(min) + " to " + std::to_string(max));
    }
    return found->get<std::int64_t>();
}

std::string strict_object::id(const char* name) const
{
    required(name);
    std::string value = *text(name);
    if (!is_valid_id(value))
    {
        throw strict_json_error(
            "'" + path_of(name) +
            "' must be 1 to 128 letters, digits, '.', '_' or '-'");
    }
    return value;
}

} // namespace kingcuprudder
