#include <kingcuprudder/settings/nearest_name.hpp>
#include <kingcuprudder/settings/settings_json.hpp>
#include <kingcuprudder/settings/settings_value_checker.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

constexpr std::size_t max_name_length = 64;

} // namespace

std::string describe_value(const json& value)
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

bool is_settings_name(const std::string& name)
{
    const auto allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_';
    };
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), allowed);
}

void settings_value_checker::add(std::string path, std::string message)
{
    m_problems.push_back({std::move(path), std::move(message)});
}

bool settings_value_checker::check_object(const std::string& path,
                                          const json& value,
                                          const std::vector<std::string>& known)
{
    if (!value.is_object())
    {
        add(path, "expected an object, found " + describe_value(value));
        return false;
    }
    for (const auto& each : value.items())
    {
        if (std::find(known.begin(), known.end(), each.key()) == known.end())
        {
            add(member_path(path, each.key()),
                unknown_name_message("name", each.key(), known));
        }
    }
    return true;
}

bool settings_value_checker::check_named_entries(const std::string& path,
                                                 const std::string& kind,
                                                 const json& value)
{
    if (!value.is_object())
    {
        add(path, "expected an object with one member for each " + kind +
                      ", found " + describe_value(value));
        return false;
    }
    for (const auto& each : value.items())
    {
        if (!is_settings_name(each.key()))
        {
            add(member_path(path, each.key()),
                "the name of a " + kind +
                    " has 1 to 64 letters, digits, '-' and '_'");
        }
    }
    return true;
}

void settings_value_checker::check_value(const std::string& path,
                                         const setting_field& field,
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
            add(path, "expected true or false, found " + describe_value(value));
        }
        break;
    case setting_kind::guarantees:
        check_guarantee_list(path, value);
        break;
    }
}

bool settings_value_checker::check_integer(const std::string& path,
                                           const json& value, std::int64_t min,
                                           std::int64_t max,
                                           std::string_view unit)
{
    const std::string in_unit =
        unit.empty() ? std::string() : " " + std::string(unit);
    if (!value.is_number_integer())
    {
        add(path, "expected an integer" +
                      (unit.empty() ? in_unit : " number of" + in_unit) +
                      ", found " + describe_value(value));
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

void settings_value_checker::check_guarantee_list(const std::string& path,
                                                  const json& list)
{
    if (!list.is_array())
    {
        add(path,
            "expected a list of guarantees, found " + describe_value(list));
        return;
    }
    std::size_t index = 0;
    for (const json& each : list)
    {
        check_guarantee(path + "[" + std::to_string(index) + "]", each);
        ++index;
    }
}

void settings_value_checker::check_guarantee(const std::string& path,
                                             const json& value)
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

void settings_value_checker::check_shape(const std::string& path,
                                         const json& value)
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
    bool valid = true;
    for (const guarantee_field& field : shape_fields())
    {
        valid = check_shape_field(path, field, value) && valid;
    }
    valid = check_proximity(path, value) && valid;
    if (valid)
    {
        check_one_worker_size(path, value);
    }
}

bool settings_value_checker::check_shape_field(const std::string& path,
                                               const guarantee_field& field,
                                               const json& value)
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

bool settings_value_checker::check_proximity(const std::string& path,
                                             const json& value)
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
                describe_value(stated));
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

/// Rejects shapes that must fit on one worker but exceed the largest possible
/// worker.
void settings_value_checker::check_one_worker_size(const std::string& path,
                                                   const json& value)
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

std::vector<settings_problem> settings_value_checker::take_problems()
{
    return std::move(m_problems);
}

} // namespace kingcuprudder
