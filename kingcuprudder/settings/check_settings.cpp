#include <kingcuprudder/settings/check_settings.hpp>
#include <kingcuprudder/settings/nearest_name.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>
#include <kingcuprudder/settings/settings_json.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>

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

constexpr std::size_t max_name_length = 64;

constexpr settings_section all_sections[] = {
    settings_section::account, settings_section::job_class,
    settings_section::service, settings_section::scheduler};

std::string type_name(const json& value)
{
    if (value.is_number_float())
    {
        return "the fraction " + value.dump();
    }
    if (value.is_object() || value.is_array() || value.is_null())
    {
        return value.is_null() ? "null"
                               : std::string("an ") + value.type_name();
    }
    return std::string("the ") + value.type_name() + " " + value.dump();
}

/// Names become parts of dotted paths, so a dot cannot be allowed.
bool valid_name(const std::string& name)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), allowed);
}

/// Walks a tree and collects every problem.
class settings_checker
{
public:
    void check_tree(const json& tree)
    {
        if (!check_object("", tree, {"defaults", "regions"}))
        {
            return;
        }
        check_defaults("defaults", member_or_empty(tree, "defaults"));
        if (!tree.contains("regions"))
        {
            add("regions", "is missing; at least one region is needed");
            return;
        }
        const json& regions = tree.at("regions");
        if (!check_named_entries("regions", "region", regions))
        {
            return;
        }
        if (regions.empty())
        {
            add("regions", "at least one region is needed");
        }
        for (const auto& each : regions.items())
        {
            check_region(member_path("regions", each.key()), each.value());
        }
    }

    /// Rules between effective values; the structure must be sound.
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
        return std::move(m_problems);
    }

private:
    void add(std::string path, std::string message)
    {
        m_problems.push_back({std::move(path), std::move(message)});
    }

    /// Whether the value is an object; also reports keys that are not known.
    bool check_object(const std::string& path, const json& value,
                      const std::vector<std::string>& known)
    {
        if (!value.is_object())
        {
            add(path, "expected an object, found " + type_name(value));
            return false;
        }
        for (const auto& each : value.items())
        {
            if (std::find(known.begin(), known.end(), each.key()) ==
                known.end())
            {
                add(member_path(path, each.key()),
                    unknown_name_message("name", each.key(), known));
            }
        }
        return true;
    }

    bool check_named_entries(const std::string& path, const std::string& kind,
                             const json& value)
    {
        if (!value.is_object())
        {
            add(path, "expected an object with one member for each " + kind +
                          ", found " + type_name(value));
            return false;
        }
        for (const auto& each : value.items())
        {
            if (!valid_name(each.key()))
            {
                add(member_path(path, each.key()),
                    "the name of a " + kind +
                        " has 1 to 64 letters, digits, '-' and '_'");
            }
        }
        return true;
    }

    void check_defaults(const std::string& path, const json& defaults)
    {
        std::vector<std::string> known;
        for (settings_section section : all_sections)
        {
            known.emplace_back(to_string(section));
        }
        if (!check_object(path, defaults, known))
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
        std::vector<std::string> known{"zones", "defaults"};
        for (settings_section section : all_sections)
        {
            known.emplace_back(region_key(section));
        }
        if (!check_object(path, region, known))
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
        if (!check_named_entries(path, std::string(to_string(section)),
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
            add(path,
                "expected a list of zone names, found " + type_name(zones));
            return;
        }
        std::set<std::string> seen;
        for (const json& zone : zones)
        {
            if (!zone.is_string() || !valid_name(zone.get<std::string>()))
            {
                add(path, "a zone name has 1 to 64 letters, digits, '-' and "
                          "'_', found " +
                              type_name(zone));
            }
            else if (!seen.insert(zone.get<std::string>()).second)
            {
                add(path, "the zone " + zone.dump() + " is listed twice");
            }
        }
    }

    void check_section(const std::string& path, settings_section section,
                       const json& values)
    {
        std::vector<std::string> known;
        for (const setting_field& field : section_fields(section))
        {
            known.emplace_back(field.m_name);
        }
        if (!check_object(path, values, known))
        {
            return;
        }
        for (const setting_field& field : section_fields(section))
        {
            const auto found = values.find(std::string(field.m_name));
            if (found != values.end())
            {
                check_value(member_path(path, field.m_name), field, *found);
            }
        }
    }

    void check_value(const std::string& path, const setting_field& field,
                     const json& value)
    {
        switch (field.m_kind)
        {
        case setting_kind::integer:
            check_integer(path, value, field.m_min, field.m_max, field.m_unit);
            break;
        case setting_kind::boolean:
            if (!value.is_boolean())
            {
                add(path, "expected true or false, found " + type_name(value));
            }
            break;
        case setting_kind::guarantees:
            check_guarantee_list(path, value);
            break;
        }
    }

    bool check_integer(const std::string& path, const json& value,
                       std::int64_t min, std::int64_t max,
                       std::string_view unit)
    {
        const std::string in_unit =
            unit.empty() ? std::string() : " " + std::string(unit);
        if (!value.is_number_integer())
        {
            add(path, "expected an integer" +
                          (unit.empty() ? in_unit : " number of" + in_unit) +
                          ", found " + type_name(value));
            return false;
        }
        const bool above_signed =
            value.is_number_unsigned() &&
            value.get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
        if (above_signed || value.get<std::int64_t>() < min ||
            value.get<std::int64_t>() > max)
        {
            add(path, value.dump() + " is outside the range " +
                          std::to_string(min) + " to " + std::to_string(max) +
                          in_unit);
            return false;
        }
        return true;
    }

    void check_guarantee_list(const std::string& path, const json& list)
    {
        if (!list.is_array())
        {
            add(path,
                "expected a list of guarantees, found " + type_name(list));
            return;
        }
        std::size_t index = 0;
        for (const json& each : list)
        {
            check_guarantee(path + "[" + std::to_string(index) + "]", each);
            ++index;
        }
    }

    void check_guarantee(const std::string& path, const json& value)
    {
        if (!check_object(path, value, {"count", "shape"}))
        {
            return;
        }
        if (value.contains("count"))
        {
            const guarantee_field& count = guarantee_count_field();
            check_integer(path + ".count", value.at("count"), count.m_min,
                          count.m_max, "");
        }
        if (!value.contains("shape"))
        {
            add(path + ".shape", "is missing");
            return;
        }
        check_shape(path + ".shape", value.at("shape"));
    }

    void check_shape(const std::string& path, const json& value)
    {
        std::vector<std::string> known{"proximity"};
        for (const guarantee_field& field : shape_fields())
        {
            known.emplace_back(field.m_name);
        }
        if (!check_object(path, value, known))
        {
            return;
        }
        bool sound = true;
        for (const guarantee_field& field : shape_fields())
        {
            sound = check_shape_field(path, field, value) && sound;
        }
        sound = check_proximity(path, value) && sound;
        if (sound)
        {
            check_one_worker_size(path, value);
        }
    }

    bool check_shape_field(const std::string& path,
                           const guarantee_field& field, const json& value)
    {
        const std::string name(field.m_name);
        if (value.contains(name))
        {
            return check_integer(member_path(path, name), value.at(name),
                                 field.m_min, field.m_max, "");
        }
        if (field.m_required)
        {
            add(member_path(path, name), "is missing");
        }
        return !field.m_required;
    }

    bool check_proximity(const std::string& path, const json& value)
    {
        if (!value.contains("proximity"))
        {
            return true;
        }
        const json& stated = value.at("proximity");
        if (!stated.is_string())
        {
            add(path + ".proximity",
                "expected worker, rack, zone or region, found " +
                    type_name(stated));
            return false;
        }
        const std::string name = stated.get<std::string>();
        if (proximity_from_string(name))
        {
            return true;
        }
        add(path + ".proximity",
            unknown_name_message("proximity", name,
                                 {"worker", "rack", "zone", "region"}));
        return false;
    }

    /// Rejects shapes that no worker can ever hold, whatever the topology.
    void check_one_worker_size(const std::string& path, const json& value)
    {
        constexpr std::int64_t max_worker_accelerators = 64;
        const std::int64_t total =
            value.at("tasks").get<std::int64_t>() *
            value.at("accelerators_per_task").get<std::int64_t>();
        if (value.value("proximity", "region") == "worker" &&
            total > max_worker_accelerators)
        {
            add(path, "needs " + std::to_string(total) +
                          " accelerators on one worker, which has at most 64");
        }
    }

    void check_services(const std::string& path,
                        const effective_settings& settings)
    {
        for (const auto& [id, service] : settings.m_services)
        {
            if (service.m_max_in_flight_per_target > service.m_max_in_flight)
            {
                add(path + ".services." + id.str() +
                        ".max_in_flight_per_target",
                    std::to_string(service.m_max_in_flight_per_target) +
                        " is more than the service's max_in_flight of " +
                        std::to_string(service.m_max_in_flight));
            }
        }
    }

    std::vector<settings_problem> m_problems;
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
        return problems_of(parse_strict_json(tree));
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
