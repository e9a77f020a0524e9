#include <kingcuprudder/base/error.hpp>

#include <array>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr std::array<std::pair<error_code, std::string_view>, 21> code_names{{
    {error_code::malformed, "malformed"},
    {error_code::unknown_account, "unknown_account"},
    {error_code::unknown_job_class, "unknown_job_class"},
    {error_code::unknown_service, "unknown_service"},
    {error_code::unknown_job, "unknown_job"},
    {error_code::id_conflict, "id_conflict"},
    {error_code::too_large, "too_large"},
    {error_code::never_fits, "never_fits"},
    {error_code::limit_reached, "limit_reached"},
    {error_code::store_unavailable, "store_unavailable"},
    {error_code::owner_unavailable, "owner_unavailable"},
    {error_code::not_owner, "not_owner"},
    {error_code::deadline_exceeded, "deadline_exceeded"},
    {error_code::target_unavailable, "target_unavailable"},
    {error_code::revision_conflict, "revision_conflict"},
    {error_code::invalid_settings, "invalid_settings"},
    {error_code::cancelled, "cancelled"},
    {error_code::failed, "failed"},
    {error_code::stale_epoch, "stale_epoch"},
    {error_code::connection_lost, "connection_lost"},
    {error_code::internal, "internal"},
}};

} // namespace

std::string_view to_string(error_code code)
{
    for (const auto& [known, name] : code_names)
    {
        if (known == code)
        {
            return name;
        }
    }
    return "internal";
}

error_code error_code_from_string(std::string_view name)
{
    for (const auto& [code, known] : code_names)
    {
        if (known == name)
        {
            return code;
        }
    }
    return error_code::internal;
}

} // namespace kingcuprudder
