#ifndef KINGCUPRUDDER_SETTINGS_SETTINGS_SCHEMA_HPP
#define KINGCUPRUDDER_SETTINGS_SETTINGS_SCHEMA_HPP

#include <kingcuprudder/settings/effective_settings.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// What a setting applies to.
enum class settings_section
{
    account,
    job_class,
    service,
    scheduler,
};

/// The name of the section below `defaults`.
std::string_view to_string(settings_section section);

/// The key below `regions.<region>` under which a section's entries stand.
std::string_view region_key(settings_section section);

enum class setting_kind
{
    integer,
    boolean,
    guarantees, ///< A list of shapes with counts.
};

/// One setting. The bounds apply to integers only.
struct setting_field
{
    settings_section m_section = settings_section::account;
    std::string_view m_name;
    setting_kind m_kind = setting_kind::integer;
    std::string_view m_unit; ///< Empty for settings without a unit.
    std::int64_t m_min = 0;
    std::int64_t m_max = 0;
    std::string_view m_description;

    friend bool operator==(const setting_field&,
                           const setting_field&) = default;
};

/// One field of a guarantee or of its shape.
struct guarantee_field
{
    std::string_view m_name;
    bool m_required = false;
    std::int64_t m_min = 0;
    std::int64_t m_max = 0;

    friend bool operator==(const guarantee_field&,
                           const guarantee_field&) = default;
};

/// All settings of a section, in a fixed order.
const std::vector<setting_field>& section_fields(settings_section section);

/// The integer fields of a guarantee's shape.
const std::vector<guarantee_field>& shape_fields();

/// The bounds of a guarantee's count.
const guarantee_field& guarantee_count_field();

/// Returns the section's values that apply when no level of the tree sets
/// any.
nlohmann::json built_in_defaults(settings_section section);

/// Decodes a section whose values have been checked. Absent values keep their
/// built-in default.
template <class Section>
Section decode_section(const nlohmann::json& values);

} // namespace kingcuprudder

#endif
