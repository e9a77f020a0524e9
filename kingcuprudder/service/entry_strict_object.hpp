#ifndef KINGCUPRUDDER_SERVICE_ENTRY_STRICT_OBJECT_HPP
#define KINGCUPRUDDER_SERVICE_ENTRY_STRICT_OBJECT_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// Thrown for invalid JSON input; the message names the field.
class strict_json_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Reads the fields of a JSON object and rejects unknown fields. All functions
/// throw strict_json_error.
class strict_object
{
public:
    /// `path` names the object in error messages; it is empty for the root
    /// object.
    strict_object(const nlohmann::json& json, std::string path,
                  const std::vector<std::string>& known);

    std::optional<std::string> text(const char* name) const;
    std::optional<bool> boolean(const char* name) const;
    std::optional<std::int64_t> integer(const char* name, std::int64_t min,
                                        std::int64_t max) const;
    const nlohmann::json& required(const char* name) const;

    /// Returns a required field that must be a valid id.
    std::string id(const char* name) const;

    /// Returns the path of a field for error messages.
    std::string path_of(const char* name) const;

private:
    const nlohmann::json* find(const char* name) const;

    const nlohmann::json& m_json;
    std::string m_path;
};

} // namespace kingcuprudder

#endif
