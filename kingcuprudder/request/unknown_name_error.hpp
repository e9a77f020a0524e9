#ifndef KINGCUPRUDDER_REQUEST_UNKNOWN_NAME_ERROR_HPP
#define KINGCUPRUDDER_REQUEST_UNKNOWN_NAME_ERROR_HPP

#include <kingcuprudder/base/error.hpp>
#include <kingcuprudder/settings/nearest_name.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// The error for a name that the settings do not contain. Its message suggests
/// the nearest name that they do contain.
template <class Id, class Value>
error unknown_name_error(error_code code, std::string_view kind, const Id& name,
                         const std::map<Id, Value>& configured)
{
    std::vector<std::string> names;
    names.reserve(configured.size());
    for (const auto& [id, value] : configured)
    {
        names.push_back(id.str());
    }
    return error{code, unknown_name_message(kind, name.str(), names),
                 verdict::not_run};
}

} // namespace kingcuprudder

#endif
