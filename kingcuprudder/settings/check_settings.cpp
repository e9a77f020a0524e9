#include <kingcuprudder/settings/check_settings.hpp>
#include <kingcuprudder/settings/nearest_name.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>
#include <kingcuprudder/settings/settings_changes.hpp>
#include <kingcuprudder/settings/settings_json.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>
#include <kingcuprudder/settings/settings_value_checker.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>
#include <string>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

/// The store refuses values above 1 MB.
constexpr std::size_t max_tree_bytes = 1000000;

constexpr settings_section all_sections[] = {
    settings_section::account, settings_section::job_class,
    settings_section::service, settings_section::scheduler};

bool is_listed_change(const json& value)
{
    const auto has = [&value](const char* key, auto is_type)
    { return value.contains(key) && (value.at(key).*is_type)(); };
    return value.is_object() && has("number", &json::is_number_unsigned) &&
           has("id", &json::is_string) && has("by", &json::is_string) &&
           has("at_ms", &json::is_number_integer);
}

bool is_change_list(const json& value)
{
    return value.is_array() &&
           std::all_of(value.begin(), value.end(), is_listed_change);
}

/// Walks a tree and collects every problem.
class settings_checker
{
public:
    void check_tree(const json& tree)
    {
        if (!m_values.check_object(
                "", tree, {"defaults", "regions", std::string(changes_key)}))
        {
            return;
        }
        check_changes(tree);
        check_defaults("defaults", member_or_empty(tree, "defaults"));
        if (!tree.contains("regions"))
        {
            m_values.add("regions",
                         "is missing; at least one region is needed");
            return;
        }
        const json& regions = tree.at("regions");
        if (!m_values.check_named_entries("regions", "region", regions))
        {
            return;
        }
        if (regions.empty())
        {
            m_values.add("regions", "at least one region is needed");
        }
        for (const auto& each : regions.items())
        {
            check_region(member_path("regions", each.key()), each.value());
        }
    }

    /// Checks the rules between effective values of a tree whose structure is
    /// valid.
    void check_effective_values(const json& tree)
    {
        for (const auto& each : tree.at("regions").items())
        {
            const effective_settings settings =
                resolve_checked_settings(tree, region_id(each.key()), 0);
            check_services(member_path("regions", each.key()), settings);
        }
    }

    std::vector<settings_problem> take_problems()
    {
        return m_values.take_problems();
    }

private:
    /// The list is written by kcrctl. A malformed one is rejected here, so that
    /// no process fails when it reads the list.
    void check_changes(const json& tree)
    {
        const std::string path(changes_key);
        if (!tree.contains(path))
        {
            return;
        }
        const json& list = tree.at(path);
        if (!is_change_list(list))
        {
            m_values.add(path, "expected the list of changes that kcrctl "
                               "writes, found " +
                                   describe_value(list));
        }
    }

    void check_defaults(const std::string& path, const json& defaults)
    {
        std::vector<std::string> allowed;
        for (settings_section section : all_sections)
        {
            allowed.emplace_back(to_string(section));
        }
        if (!m_values.check_object(path, defaults, allowed))
        {
            return;
        }
        for (settings_section section : all_sections)
        {
            const std::string name(to_string(section));
            if (defaults.contains(name))
            {
                check_section(member_path(path, name), section,
                              defaults.at(name));
            }
        }
    }

    void check_region(const std::string& path, const json& region)
    {
        std::vector<std::string> allowed{"zones", "defaults"};
        for (settings_section section : all_sections)
        {
            allowed.emplace_back(region_key(section));
        }
        if (!m_values.check_object(path, region, allowed))
        {
            return;
        }
        if (region.contains("zones"))
        {
            check_zones(path + ".zones", region.at("zones"));
        }
        check_defaults(path + ".defaults", member_or_empty(region, "defaults"));
        for (settings_section section : all_sections)
        {
            const std::string key(region_key(section));
            if (region.contains(key))
            {
                check_entries(member_path(path, key), section, region.at(key));
            }
        }
    }

    void check_entries(const std::string& path, settings_section section,
                       const json& entries)
    {
        if (section == settings_section::scheduler)
        {
            check_section(path, section, entries);
            return;
        }
        if (!m_values.check_named_entries(path, std::string(to_string(section)),
                                          entries))
        {
            return;
        }
        for (const auto& each : entries.items())
        {
            check_section(member_path(path, each.key()), section, each.value());
        }
    }

    void check_zones(const std::string& path, const json& zones)
    {
        if (!zones.is_array())
        {
            m_values.add(path, "expected a list of zone names, found " +
                                   describe_value(zones));
            return;
        }
        std::set<std::string> seen;
        for (const json& zone : zones)
        {
            if (!zone.is_string() || !is_settings_name(zone.get<std::string>()))
            {
                m_values.add(path,
                             "a zone name has 1 to 64 letters, digits, '-' and "
                             "'_', found " +
                                 describe_value(zone));
            }
            else if (!seen.insert(zone.get<std::string>()).second)
            {
                m_values.add(path,
                             "the zone " + zone.dump() + " is listed twice");
            }
        }
    }

    void check_section(const std::string& path, settings_section section,
                       const json& values)
    {
        std::vector<std::string> allowed;
        for (const setting_field& field : section_fields(section))
        {
            allowed.emplace_back(field.m_name);
        }
        if (!m_values.check_object(path, values, allowed))
        {
            return;
        }
        for (const setting_field& field : section_fields(section))
        {
            const auto found = values.find(std::string(field.m_name));
            if (found != values.end())
            {
                m_values.check_value(member_path(path, field.m_name), field,
                                     *found);
            }
        }
    }

    void check_services(const std::string& path,
                        const effective_settings& settings)
    {
        for (const auto& [id, service] : settings.m_services)
        {
            if (service.m_max_in_flight_per_target > service.m_max_in_flight)
            {
                m_values.add(
                    path + ".services." + id.str() +
                        ".max_in_flight_per_target",
                    std::to_string(service.m_max_in_flight_per_target) +
                        " is more than the service's max_in_flight of " +
                        std::to_string(service.m_max_in_flight));
            }
        }
    }

    settings_value_checker m_values;
};

std::vector<settings_problem> problems_of(const json& tree)
{
    settings_checker structure;
    structure.check_tree(tree);
    std::vector<settings_problem> problems = structure.take_problems();
    if (!problems.empty())
    {
        return problems;
    }
    settings_checker values;
    values.check_effective_values(tree);
    return values.take_problems();
}

} // namespace

std::vector<settings_problem> check_settings(std::string_view tree)
{
    if (tree.size() > max_tree_bytes)
    {
        return {{"", "the tree has " + std::to_string(tree.size()) +
                         " bytes; the store takes at most " +
                         std::to_string(max_tree_bytes)}};
    }
    try
    {
        return problems_of(parse_json_without_duplicates(tree));
    }
    catch (const std::exception& problem)
    {
        return {{"", std::string("not valid JSON: ") + problem.what()}};
    }
}

result<json> parse_settings(std::string_view tree)
{
    const std::vector<settings_problem> problems = check_settings(tree);
    if (!problems.empty())
    {
        return error{error_code::invalid_settings, to_text(problems),
                     verdict::not_run};
    }
    return result<json>(std::in_place_index<0>, json::parse(tree));
}

bool is_editable_settings_document(std::string_view text)
{
    const json tree = json::parse(text, nullptr, false);
    const std::string key(changes_key);
    return tree.is_object() &&
           (!tree.contains(key) || is_change_list(tree.at(key)));
}

std::string to_text(const std::vector<settings_problem>& problems)
{
    std::string text;
    for (const settings_problem& each : problems)
    {
        text += text.empty() ? "" : "\n";
        text += each.m_path.empty() ? "settings" : each.m_path;
        text += ": " + each.m_message;
    }
    return text;
}

} // namespace kingcuprudder
