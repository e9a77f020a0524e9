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

/// Why an HTTP call has no answer.
enum class http_failure
{
    not_sent,   ///< The call was not sent and will not be carried out.
    unanswered, ///< The call may have been carried out.
};

using http_outcome = std::variant<http_answer, http_failure>;

} // namespace kingcuprudder

#endif
