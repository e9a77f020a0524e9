#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_HTTP_CALL_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_HTTP_CALL_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/runtime/http_connection_pool.hpp>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// One HTTP call of kcrctl.
struct http_request
{
    std::string m_method = "GET"; ///< GET, POST or DELETE.
    std::string m_path;
    std::string m_body;

    friend auto operator<=>(const http_request&, const http_request&) = default;
};

/// Calls one process. Throws command_error with exit_code::unreachable when
/// it cannot be connected to, and exit_code::unknown when a call that changes
/// something was sent but not answered. The message names process and
/// address.
http_answer call_process(const std::string& process, const std::string& address,
                         const http_request& request, span timeout);

/// Calls the processes one after the other until one gives an answer other
/// than 503. All calls are idempotent, so that repeating one on the next
/// process does nothing twice.
http_answer call_any(const std::string& process,
                     const std::vector<std::string>& addresses,
                     const http_request& request, span timeout);

/// The body of an answer that is not an error. Throws command_error with the
/// code, message and verdict of a refusal.
std::string body_or_throw(const http_answer& answer);

} // namespace kingcuprudder

#endif
