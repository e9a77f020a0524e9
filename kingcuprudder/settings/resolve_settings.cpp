#include <kingcuprudder/settings/check_settings.hpp>
#include <kingcuprudder/settings/nearest_name.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>
#include <kingcuprudder/settings/settings_json.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

constexpr const char* built_in_level = "built-in default";

/// One level of the inheritance and the values that it sets itself.
struct settings_level
{
    std::string m_path;
    const json* m_values;
};

/// Resolves the values of one region, from the organisation-wide defaults down
/// to the single entry.
class region_resolver
{
public:
    region_resolver(const json& tree, const region_id& region)
        : m_tree(tree), m_region_path("regions." + region.str()),
          m_region(
              member_or_empty(member_or_empty(tree, "regions"), region.str()))
    {
    }

    /// The names of a section's entries in the region.
    std::vector<std::string> entries(settings_section section) const
    {
        std::vector<std::string> names;
        const json& list = member_or_empty(m_region, region_key(section));
        for (const auto& each : list.items())
        {
            names.push_back(each.key());
        }
        return names;
    }

    /// The levels from the most general one down. The scheduler section has
    /// no named entries.
    std::vector<settings_level>
    levels(settings_section section,
           const std::optional<std::string>& entry) const
    {
        const std::string_view name = to_string(section);
        const std::string entry_list =
            member_path(m_region_path, region_key(section));
        const json& own = member_or_empty(m_region, region_key(section));
        return {
            {member_path("defaults", name),
             &member_or_empty(member_or_empty(m_tree, "defaults"), name)},
            {member_path(m_region_path + ".defaults", name),
             &member_or_empty(member_or_empty(m_region, "defaults"), name)},
            {entry ? member_path(entry_list, *entry) : entry_list,
             entry ? &member_or_empty(own, *entry) : &own},
        };
    }

    /// The values that the levels set, each lower level overriding those
    /// above.
    json merged(settings_section section,
                const std::optional<std::string>& entry) const
    {
        json values = json::object();
        for (const settings_level& level : levels(section, entry))
        {
            values.update(*level.m_values);
        }
        return values;
    }

    /// Appends each effective value with the lowest level that sets it.
    void explain(settings_section section,
                 const std::optional<std::string>& entry,
                 std::vector<settings_origin>& origins) const
    {
        json values = built_in_defaults(section);
        std::map<std::string, std::string> stated_by;
        for (const settings_level& level : levels(section, entry))
        {
            for (const auto& each : level.m_values->items())
            {
                values[each.key()] = each.value();
                stated_by[each.key()] = level.m_path;
            }
        }
        const std::string key(region_key(section));
        const std::string path = entry ? member_path(key, *entry) : key;
        for (const setting_field& field : section_fields(section))
        {
            const std::string name(field.m_name);
            const auto level = stated_by.find(name);
            origins.push_back(
                {member_path(path, name), values[name].dump(),
                 level == stated_by.end() ? built_in_level : level->second});
        }
    }

private:
    const json& m_tree;
    std::string m_region_path;
    const json& m_region;
};

/// Returns an error when the tree does not have the region.
std::optional<error> missing_region(const json& tree, const region_id& region)
{
    const json& regions = member_or_empty(tree, "regions");
    if (regions.contains(region.str()))
    {
        return std::nullopt;
    }
    std::vector<std::string> known;
    for (const auto& each : regions.items())
    {
        known.push_back(each.key());
    }
    return error{error_code::invalid_settings,
                 "regions: " +
                     unknown_name_message("region", region.str(), known),
                 verdict::not_run};
}

} // namespace

effective_settings resolve_checked_settings(const json& tree,
                                            const region_id& region,
                                            std::uint64_t revision)
{
    using section = settings_section;
    const region_resolver resolver(tree, region);
    effective_settings settings;
    settings.m_revision = revision;
    for (const std::string& name : resolver.entries(section::account))
    {
        settings.m_accounts[account_id(name)] =
            decode_section<account_settings>(
                resolver.merged(section::account, name));
    }
    for (const std::string& name : resolver.entries(section::job_class))
    {
        settings.m_job_classes[job_class_id(name)] =
            decode_section<job_class_settings>(
                resolver.merged(section::job_class, name));
    }
    for (const std::string& name : resolver.entries(section::service))
    {
        settings.m_services[service_id(name)] =
            decode_section<service_settings>(
                resolver.merged(section::service, name));
    }
    settings.m_scheduler = decode_section<scheduler_settings>(
        resolver.merged(section::scheduler, std::nullopt));
    return settings;
}

result<effective_settings> resolve_settings(std::string_view tree,
                                            const region_id& region,
                                            std::uint64_t revision)
{
    const result<json> parsed = parse_settings(tree);
    if (!succeeded(parsed))
    {
        return error_of(parsed);
    }
    if (const auto missing = missing_region(value_of(parsed), region))
    {
        return *missing;
    }
    return resolve_checked_settings(value_of(parsed), region, revision);
}

result<std::vector<settings_origin>> explain_settings(std::string_view tree,
                                                      const region_id& region)
{
    using section = settings_section;
    const result<json> parsed = parse_settings(tree);
    if (!succeeded(parsed))
    {
        return error_of(parsed);
    }
    if (const auto missing = missing_region(value_of(parsed), region))
    {
        return *missing;
    }
    const region_resolver resolver(value_of(parsed), region);
    std::vector<settings_origin> origins;
    for (section each :
         {section::account, section::job_class, section::service})
    {
        for (const std::string& name : resolver.entries(each))
        {
            resolver.explain(each, name, origins);
        }
    }
    resolver.explain(section::scheduler, std::nullopt, origins);
    return origins;
}

} // namespace kingcuprudder
