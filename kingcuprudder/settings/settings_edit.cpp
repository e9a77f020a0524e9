#include <kingcuprudder/settings/nearest_name.hpp>
#include <kingcuprudder/settings/settings_changes.hpp>
#include <kingcuprudder/settings/settings_edit.hpp>
#include <kingcuprudder/settings/settings_json.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

constexpr int indentation = 2;

error invalid(const std::string& path, const std::string& problem)
{
    return {error_code::invalid_settings, path + ": " + problem,
            verdict::not_run};
}

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> steps;
    std::size_t begin = 0;
    while (begin <= path.size() && !path.empty())
    {
        const std::size_t dot = std::min(path.find('.', begin), path.size());
        steps.emplace_back(path.substr(begin, dot - begin));
        begin = dot + 1;
    }
    return steps;
}

json parse_value(std::string_view text)
{
    json value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json(std::string(text)) : value;
}

std::vector<std::string> keys_of(const json& object)
{
    std::vector<std::string> keys;
    for (const auto& each : object.items())
    {
        keys.push_back(each.key());
    }
    return keys;
}

/// Whether the members of the object at this path are named by operators.
bool holds_named_entries(const std::vector<std::string>& path)
{
    if (path.size() == 1)
    {
        return path[0] == "regions";
    }
    if (path.size() != 3 || path[0] != "regions")
    {
        return false;
    }
    for (settings_section section :
         {settings_section::account, settings_section::job_class,
          settings_section::service})
    {
        if (path[2] == region_key(section))
        {
            return true;
        }
    }
    return false;
}

std::string kind_of_entry(const std::vector<std::string>& path)
{
    if (path.size() == 1)
    {
        return "region";
    }
    return path[2] == region_key(settings_section::account)     ? "account"
           : path[2] == region_key(settings_section::job_class) ? "job class"
                                                                : "service";
}

/// Returns the object that holds the last step of the path. Absent levels that
/// the schema names are added.
result<json*> parent_of(json& tree, const std::vector<std::string>& steps,
                        const std::string& path)
{
    json* object = &tree;
    std::vector<std::string> parent_path;
    for (std::size_t i = 0; i + 1 < steps.size(); ++i)
    {
        if (holds_named_entries(parent_path) && !object->contains(steps[i]))
        {
            return invalid(path,
                           unknown_name_message(kind_of_entry(parent_path),
                                                steps[i], keys_of(*object)));
        }
        json& next = (*object)[steps[i]];
        if (!next.is_null() && !next.is_object())
        {
            return invalid(path, "'" + steps[i] +
                                     "' is a single value and has no members");
        }
        object = &next;
        parent_path.push_back(steps[i]);
    }
    return object;
}

void collect_differences(const std::string& path, const json* before,
                         const json* after,
                         std::vector<settings_difference>& found)
{
    const bool descend = (before == nullptr || before->is_object()) &&
                         (after == nullptr || after->is_object());
    const bool both_empty = (before == nullptr || before->empty()) &&
                            (after == nullptr || after->empty());
    if (!descend || (both_empty && (before == nullptr || after == nullptr)))
    {
        if (before == nullptr || after == nullptr || *before != *after)
        {
            found.push_back(
                {path, before ? std::optional(before->dump()) : std::nullopt,
                 after ? std::optional(after->dump()) : std::nullopt});
        }
        return;
    }
    json keys = json::object();
    keys.update(before != nullptr ? *before : json::object());
    keys.update(after != nullptr ? *after : json::object());
    for (const auto& each : keys.items())
    {
        const auto member = [&](const json* object) -> const json*
        {
            return object != nullptr && object->contains(each.key())
                       ? &object->at(each.key())
                       : nullptr;
        };
        collect_differences(member_path(path, each.key()), member(before),
                            member(after), found);
    }
}

} // namespace

result<std::string> with_setting(std::string_view tree, std::string_view path,
                                 std::string_view value)
{
    json root = json::parse(tree);
    const std::vector<std::string> steps = split_path(path);
    if (steps.empty())
    {
        return invalid("settings", "a path is needed");
    }
    const result<json*> parent = parent_of(root, steps, std::string(path));
    if (!succeeded(parent))
    {
        return error_of(parent);
    }
    (*value_of(parent))[steps.back()] = parse_value(value);
    return root.dump(indentation);
}

result<std::string> without_setting(std::string_view tree,
                                    std::string_view path)
{
    json root = json::parse(tree);
    const std::vector<std::string> steps = split_path(path);
    json* object = &root;
    for (std::size_t i = 0; i < steps.size(); ++i)
    {
        if (!object->is_object() || !object->contains(steps[i]))
        {
            return invalid(
                std::string(path),
                unknown_name_message("name", steps[i], keys_of(*object)));
        }
        if (i + 1 == steps.size())
        {
            object->erase(steps[i]);
            return root.dump(indentation);
        }
        object = &(*object)[steps[i]];
    }
    return invalid("settings", "a path is needed");
}

result<std::string> setting_at(std::string_view tree, std::string_view path)
{
    json root = json::parse(tree);
    root.erase(std::string(changes_key));
    const json* value = &root;
    for (const std::string& step : split_path(path))
    {
        if (!value->is_object() || !value->contains(step))
        {
            return invalid(std::string(path),
                           unknown_name_message("name", step, keys_of(*value)));
        }
        value = &value->at(step);
    }
    return value->dump(indentation);
}

std::vector<settings_difference> settings_differences(std::string_view before,
                                                      std::string_view after)
{
    json left = json::parse(before);
    json right = json::parse(after);
    left.erase(std::string(changes_key));
    right.erase(std::string(changes_key));
    std::vector<settings_difference> found;
    collect_differences("", &left, &right, found);
    return found;
}

std::string to_text(const std::vector<settings_difference>& differences)
{
    std::string text;
    for (const settings_difference& each : differences)
    {
        text += each.m_path + ": " + each.m_before.value_or("absent") + " -> " +
                each.m_after.value_or("absent") + "\n";
    }
    return text;
}

} // namespace kingcuprudder
