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

/// Calls one process. Throws command_error with exit_code::unreachable if the
/// connection fails, and with exit_code::unknown if a call that changes state
/// was sent but not answered. The message names the process and its address.
http_answer call_process(const std::string& process, const std::string& address,
                         const http_request& request, span timeout);

/// Calls the processes in order until one answers with a status other than 503.
/// All calls are idempotent, so a retry on the next process has no second
/// effect.
http_answer call_any(const std::string& process,
                     const std::vector<std::string>& addresses,
                     const http_request& request, span timeout);

/// Returns the body of a successful answer. Throws command_error with the code,
/// message and verdict of a refusal.
std::string body_or_throw(const http_answer& answer);

} // namespace kingcuprudder

#endif
