#ifndef KINGCUPRUDDER_SETTINGS_SETTINGS_VALUE_CHECKER_HPP
#define KINGCUPRUDDER_SETTINGS_SETTINGS_VALUE_CHECKER_HPP

#include <kingcuprudder/settings/check_settings.hpp>
#include <kingcuprudder/settings/settings_schema.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// Describes a value for messages: its type and, unless it is an object or a
/// list, the value itself.
std::string describe_value(const nlohmann::json& value);

/// Whether the text is a valid name of a region, zone, account, job class or
/// service. Dots are not allowed, since names become parts of dotted paths.
bool is_settings_name(const std::string& name);

/// Checks single values of a settings tree and collects every problem.
class settings_value_checker
{
public:
    void add(std::string path, std::string message);

    /// Returns whether the value is an object; adds a problem for each key that
    /// is not in `known`.
    bool check_object(const std::string& path, const nlohmann::json& value,
                      const std::vector<std::string>& known);

    /// Returns whether the value is an object; adds a problem for each key that
    /// is not a valid name of an entry of this kind.
    bool check_named_entries(const std::string& path, const std::string& kind,
                             const nlohmann::json& value);

    /// Checks a value against the type and bounds of its setting.
    void check_value(const std::string& path, const setting_field& field,
                     const nlohmann::json& value);

    std::vector<settings_problem> take_problems();

private:
    bool check_integer(const std::string& path, const nlohmann::json& value,
                       std::int64_t min, std::int64_t max,
                       std::string_view unit);
    void check_guarantee_list(const std::string& path,
                              const nlohmann::json& list);
    void check_guarantee(const std::string& path, const nlohmann::json& value);
    void check_shape(const std::string& path, const nlohmann::json& value);
    bool check_shape_field(const std::string& path,
                           const guarantee_field& field,
                           const nlohmann::json& value);
    bool check_proximity(const std::string& path, const nlohmann::json& value);
    void check_one_worker_size(const std::string& path,
                               const nlohmann::json& value);

    std::vector<settings_problem> m_problems;
};

} // namespace kingcuprudder

#endif
