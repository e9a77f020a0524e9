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

/// The refusal of a name that the settings do not know, with the nearest name
/// that they do.
template <class Id, class Value>
error unknown_name_error(error_code code, std::string_view kind, const Id& name,
                         const std::map<Id, Value>& known)
{
    std::vector<std::string> names;
    names.reserve(known.size());
    for (const auto& [id, value] : known)
    {
        names.push_back(id.str());
    }
    return error{code, unknown_name_message(kind, name.str(), names),
                 verdict::not_run};
}

} // namespace kingcuprudder

#endif
