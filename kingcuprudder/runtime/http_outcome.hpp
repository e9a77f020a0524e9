#ifndef KINGCUPRUDDER_RUNTIME_HTTP_OUTCOME_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_OUTCOME_HPP

#include <string>
#include <variant>

namespace kingcuprudder
{

/// The answer to an HTTP call.
struct http_answer
{
    int m_status = 0;
    std::string m_body;

    friend bool operator==(const http_answer&, const http_answer&) = default;
};

/// Whether an HTTP call without an answer may have been carried out.
enum class http_delivery
{
    not_sent,   ///< The call was not sent and will not be carried out.
    unanswered, ///< The call may have been carried out.
};

/// Why an HTTP call has no answer.
enum class http_failure_cause
{
    unspecified, ///< The client does not distinguish the causes.
    cancelled,   ///< This process did not send the call or cancelled it.
    refused,     ///< The peer refused the connection.
    closed,      ///< The peer closed or reset the connection.
    unreachable, ///< No connection, for another reason.
    timed_out,   ///< The peer did not answer in time.
    unreadable,  ///< The peer sent something else than an answer.
    too_large,   ///< The answer is over a limit.
};

/// An HTTP call without an answer.
struct http_failure
{
    http_delivery m_delivery = http_delivery::not_sent;
    http_failure_cause m_cause = http_failure_cause::unspecified;

    friend bool operator==(const http_failure&, const http_failure&) = default;
};

using http_outcome = std::variant<http_answer, http_failure>;

} // namespace kingcuprudder

#endif
