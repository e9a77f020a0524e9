#include <kingcuprudder/settings/settings_changes.hpp>
#include <kingcuprudder/settings/settings_json_schema.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>

#include <nlohmann/json.hpp>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

constexpr int indentation = 2;
constexpr const char* name_pattern = "^[A-Za-z0-9_-]{1,64}$";

json object_schema(json properties)
{
    return {{"type", "object"},
            {"properties", std::move(properties)},
            {"additionalProperties", false}};
}

/// An object whose members are named by operators.
json named_entries(const json& entry)
{
    return {{"type", "object"},
            {"patternProperties", {{name_pattern, entry}}},
            {"additionalProperties", false}};
}

json reference(const std::string& definition)
{
    return {{"$ref", "#/$defs/" + definition}};
}

json integer_schema(const guarantee_field& field)
{
    return {{"type", "integer"},
            {"minimum", field.m_min},
            {"maximum", field.m_max}};
}

json shape_schema()
{
    json properties = {
        {"proximity", {{"enum", {"worker", "rack", "zone", "region"}}}}};
    json required = json::array();
    for (const guarantee_field& field : shape_fields())
    {
        const std::string name(field.m_name);
        properties[name] = integer_schema(field);
        if (field.m_required)
        {
            required.push_back(name);
        }
    }
    json schema = object_schema(std::move(properties));
    schema["required"] = std::move(required);
    return schema;
}

json guarantee_schema()
{
    const guarantee_field& count = guarantee_count_field();
    json schema =
        object_schema({{std::string(count.m_name), integer_schema(count)},
                       {"shape", reference("shape")}});
    schema["required"] = {"shape"};
    return schema;
}

json type_of(const setting_field& field)
{
    switch (field.m_kind)
    {
    case setting_kind::integer:
        return {{"type", "integer"},
                {"minimum", field.m_min},
                {"maximum", field.m_max}};
    case setting_kind::boolean:
        return {{"type", "boolean"}};
    case setting_kind::guarantees:
        return {{"type", "array"}, {"items", reference("guarantee")}};
    }
    return json::object();
}

json section_schema(settings_section section)
{
    const json defaults = built_in_defaults(section);
    json properties = json::object();
    for (const setting_field& field : section_fields(section))
    {
        const std::string name(field.m_name);
        json schema = type_of(field);
        schema["description"] = std::string(field.m_description);
        schema["default"] = defaults.at(name);
        if (!field.m_unit.empty())
        {
            schema["unit"] = std::string(field.m_unit);
        }
        properties[name] = std::move(schema);
    }
    return object_schema(std::move(properties));
}

json change_schema()
{
    return {{"type", "object"},
            {"required", {"number", "id", "by", "at_ms"}},
            {"description", "Written by kcrctl."}};
}

json region_schema()
{
    return object_schema(
        {{"zones",
          {{"type", "array"},
           {"items", {{"type", "string"}, {"pattern", name_pattern}}},
           {"uniqueItems", true}}},
         {"defaults", reference("defaults")},
         {"accounts", named_entries(reference("account"))},
         {"job_classes", named_entries(reference("job_class"))},
         {"services", named_entries(reference("service"))},
         {"scheduler", reference("scheduler")}});
}

json definitions()
{
    json defs = {{"shape", shape_schema()},
                 {"guarantee", guarantee_schema()},
                 {"change", change_schema()},
                 {"region", region_schema()}};
    json defaults = json::object();
    for (settings_section section :
         {settings_section::account, settings_section::job_class,
          settings_section::service, settings_section::scheduler})
    {
        const std::string name(to_string(section));
        defs[name] = section_schema(section);
        defaults[name] = reference(name);
    }
    defs["defaults"] = object_schema(std::move(defaults));
    return defs;
}

} // namespace

std::string settings_json_schema()
{
    json regions = named_entries(reference("region"));
    regions["minProperties"] = 1;
    json schema =
        object_schema({{"defaults", reference("defaults")},
                       {"regions", std::move(regions)},
                       {std::string(changes_key),
                        {{"type", "array"}, {"items", reference("change")}}}});
    schema["$schema"] = "https://json-schema.org/draft/2020-12/schema";
    schema["title"] = "Settings of kingcuprudder";
    schema["required"] = {"regions"};
    schema["$defs"] = definitions();
    return schema.dump(indentation) + "\n";
}

} // namespace kingcuprudder
