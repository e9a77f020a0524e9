#ifndef KINGCUPRUDDER_BASE_ERROR_HPP
#define KINGCUPRUDDER_BASE_ERROR_HPP

#include <kingcuprudder/base/verdict.hpp>

#include <string>
#include <string_view>
#include <variant>

namespace kingcuprudder
{

/// The reason why a call was refused or failed.
enum class error_code
{
    malformed,          ///< The input cannot be parsed or lacks a field.
    unknown_account,    ///< The settings have no such client account.
    unknown_job_class,  ///< The settings have no such job class.
    unknown_service,    ///< The settings have no such service.
    unknown_job,        ///< There is no job with this id.
    id_conflict,        ///< The id was used before with other content.
    too_large,          ///< The body is over its size limit.
    never_fits,         ///< The shape cannot fit on the whole topology.
    limit_reached,      ///< A bound on queued or in-flight work is reached.
    store_unavailable,  ///< The key-value store cannot be reached.
    owner_unavailable,  ///< No process owns the region at the moment.
    not_owner,          ///< The called process does not own the region.
    deadline_exceeded,  ///< The deadline passed before an answer arrived.
    target_unavailable, ///< No target can accept the request.
    revision_conflict,  ///< A compare-and-swap found another revision.
    invalid_settings,   ///< A settings change failed validation.
    cancelled,          ///< The caller cancelled the work.
    failed,             ///< The work ran and failed.
    stale_epoch,        ///< A newer owner has taken over.
    connection_lost,    ///< The connection broke before the answer.
    internal,           ///< An internal invariant did not hold.
};

/// Returns the stable lower-case name of an error code, used on the wire.
std::string_view to_string(error_code code);

/// The error code with this name, or error_code::internal when there is none.
error_code error_code_from_string(std::string_view name);

/// An error of a call, with a code that the caller can act upon.
struct error
{
    error_code m_code = error_code::internal;
    std::string m_message;
    /// Whether the work that the call requested may have run.
    verdict m_verdict = verdict::not_run;

    friend bool operator==(const error&, const error&) = default;
};

/// The value of a successful call, or the error of a failed one.
template <class T>
using result = std::variant<T, error>;

/// The value of a successful call that returns nothing.
using ok = std::monostate;

template <class T>
bool succeeded(const result<T>& outcome)
{
    return outcome.index() == 0;
}

/// The value of a successful result; throws std::bad_variant_access otherwise.
template <class T>
const T& value_of(const result<T>& outcome)
{
    return std::get<0>(outcome);
}

/// The error of a failed result; throws std::bad_variant_access otherwise.
template <class T>
const error& error_of(const result<T>& outcome)
{
    return std::get<1>(outcome);
}

} // namespace kingcuprudder

#endif
