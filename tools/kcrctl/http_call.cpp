#include "http_call.hpp"

#include "command_error.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <httplib.h>
#include <optional>

namespace kingcuprudder
{

namespace
{

constexpr int status_unavailable = 503;
constexpr int min_error_status = 400;
constexpr std::chrono::milliseconds connect_timeout(1000);
constexpr const char* json_type = "application/json";

httplib::Result send(httplib::Client& client, const http_request& request)
{
    if (request.m_method == "POST")
    {
        return client.Post(request.m_path, request.m_body, json_type);
    }
    if (request.m_method == "DELETE")
    {
        return client.Delete(request.m_path);
    }
    return client.Get(request.m_path);
}

/// Whether the call may have reached the process.
bool may_have_arrived(httplib::Error problem)
{
    return problem != httplib::Error::Connection &&
           problem != httplib::Error::ConnectionTimeout;
}

std::string describe(const std::string& process, const std::string& address,
                     httplib::Error problem)
{
    const std::string where = process + " at " + address;
    return may_have_arrived(problem) ? where + " did not answer"
                                     : where + " cannot be reached";
}

} // namespace

http_answer call_process(const std::string& process, const std::string& address,
                         const http_request& request, span timeout)
{
    httplib::Client client("http://" + address);
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(std::chrono::milliseconds(timeout.count()));
    client.set_tcp_nodelay(true);
    const httplib::Result answer = send(client, request);
    if (!answer)
    {
        const bool changes = request.m_method != "GET";
        throw command_error(changes && may_have_arrived(answer.error())
                                ? exit_code::unknown
                                : exit_code::unreachable,
                            describe(process, address, answer.error()));
    }
    return {answer->status, answer->body};
}

http_answer call_any(const std::string& process,
                     const std::vector<std::string>& addresses,
                     const http_request& request, span timeout)
{
    std::string failures;
    exit_code code = exit_code::unreachable;
    std::optional<http_answer> unavailable;
    for (const std::string& address : addresses)
    {
        try
        {
            http_answer answer =
                call_process(process, address, request, timeout);
            if (answer.m_status != status_unavailable)
            {
                return answer;
            }
            unavailable = answer;
        }
        catch (const command_error& problem)
        {
            failures += (failures.empty() ? "" : "; ");
            failures += problem.what();
            if (problem.code() == exit_code::unknown)
            {
                code = exit_code::unknown;
            }
        }
    }
    if (unavailable && code != exit_code::unknown)
    {
        return *unavailable;
    }
    throw command_error(code, failures);
}

std::string body_or_throw(const http_answer& answer)
{
    if (answer.m_status < min_error_status)
    {
        return answer.m_body;
    }
    const nlohmann::json refusal =
        nlohmann::json::parse(answer.m_body, nullptr, false);
    if (!refusal.is_object() || !refusal.contains("message"))
    {
        throw command_error(exit_code::refused,
                            "refused with HTTP status " +
                                std::to_string(answer.m_status));
    }
    const std::string seen = refusal.value("verdict", "not_run");
    throw command_error(
        seen == "may_have_run" ? exit_code::unknown : exit_code::refused,
        refusal.value("code", "") + ": " + refusal.value("message", "") +
            " (verdict " + seen + ")");
}

} // namespace kingcuprudder
