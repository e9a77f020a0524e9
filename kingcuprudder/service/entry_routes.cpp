#include <kingcuprudder/service/entry_routes.hpp>

#include <charconv>
#include <httplib.h>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr std::int64_t default_timeout_ms = 10'000;
constexpr std::int64_t max_timeout_ms = 60'000;
constexpr const char* job_path = "/v1/jobs/([^/]+)/([^/]+)";
constexpr const char* why_path = "/v1/jobs/([^/]+)/([^/]+)/why";

/// Thrown for input that a handler refuses.
struct refused_input
{
    std::string m_message;
};

entry_response refuse(error_code code, std::string message)
{
    return respond(error{code, std::move(message), verdict::not_run});
}

span duration_param(const httplib::Request& request, const char* name,
                    std::int64_t otherwise, std::int64_t max)
{
    if (!request.has_param(name))
    {
        return span(otherwise);
    }
    const std::string text = request.get_param_value(name);
    std::int64_t value = 0;
    const auto [end, problem] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc() || end != text.data() + text.size() ||
        value < 0 || value > max)
    {
        throw refused_input{std::string(name) + " must be from 0 to " +
                            std::to_string(max)};
    }
    return span(value);
}

span timeout_of(const httplib::Request& request)
{
    return duration_param(request, "timeout_ms", default_timeout_ms,
                          max_timeout_ms);
}

std::string checked_id(const std::string& text, const char* kind)
{
    if (!is_valid_id(text))
    {
        throw refused_input{std::string("the ") + kind +
                            " must be 1 to 128 letters, digits, '.', '_' or "
                            "'-'"};
    }
    return text;
}

job_key key_of(const httplib::Request& request)
{
    return {account_id(checked_id(request.matches[1].str(), "account")),
            job_id(checked_id(request.matches[2].str(), "job id"))};
}

void send(const entry_response& from, httplib::Response& to)
{
    to.status = from.m_status;
    to.set_content(from.m_body, "application/json");
    if (from.m_retry_after_seconds > 0)
    {
        to.set_header("Retry-After",
                      std::to_string(from.m_retry_after_seconds));
    }
}

using route = std::function<entry_response(const httplib::Request&)>;

httplib::Server::Handler handler(route serve)
{
    return [serve = std::move(serve)](const httplib::Request& request,
                                      httplib::Response& response)
    {
        try
        {
            send(serve(request), response);
        }
        catch (const refused_input& refusal)
        {
            send(refuse(error_code::malformed, refusal.m_message), response);
        }
    };
}

/// Gives errors that cpp-httplib itself detects the same response format as all
/// other errors.
void complete_error(const httplib::Request& request,
                    httplib::Response& response)
{
    if (!response.body.empty())
    {
        return;
    }
    const int status = response.status;
    if (status == 413)
    {
        send(refuse(error_code::too_large, "the body is larger than 1 MB"),
             response);
    }
    else if (status == 404)
    {
        send(refuse(error_code::malformed,
                    "no such path: " + request.method + " " + request.path),
             response);
        response.status = status;
    }
    else
    {
        send(refuse(error_code::malformed, "the request is not valid HTTP"),
             response);
        response.status = status;
    }
}

void on_exception(const httplib::Request&, httplib::Response& response,
                  const std::exception_ptr&)
{
    send(respond(error{error_code::internal, "an internal check failed",
                       verdict::may_have_run}),
         response);
}

void install_job_routes(httplib::Server& server, const entry_routes& routes)
{
    entry_jobs* jobs = routes.m_jobs;
    server.Post("/v1/jobs",
                handler(
                    [jobs, settings = routes.m_settings](const auto& request)
                    {
                        const auto in_force = settings();
                        if (!in_force)
                        {
                            return refuse(
                                error_code::store_unavailable,
                                "the settings have not been loaded yet");
                        }
                        return jobs->submit(request.body, *in_force,
                                            timeout_of(request));
                    }));
    server.Get("/v1/jobs",
               handler(
                   [jobs](const auto& request)
                   {
                       const account_id account(checked_id(
                           request.get_param_value("account"), "account"));
                       return jobs->list(account, timeout_of(request));
                   }));
    server.Get(why_path, handler(
                             [jobs](const auto& request) {
                                 return jobs->explain(key_of(request),
                                                      timeout_of(request));
                             }));
    server.Get(job_path, handler(
                             [jobs](const auto& request)
                             {
                                 const span wait = duration_param(
                                     request, "wait_ms", 0,
                                     entry_jobs::max_wait.count());
                                 return jobs->query(key_of(request), wait,
                                                    timeout_of(request));
                             }));
    server.Delete(job_path, handler(
                                [jobs](const auto& request) {
                                    return jobs->cancel(key_of(request),
                                                        timeout_of(request));
                                }));
}

} // namespace

void install_entry_routes(httplib::Server& server, entry_routes routes)
{
    install_job_routes(server, routes);
    server.Post("/v1/requests",
                handler([run = std::move(routes.m_request)](const auto& request)
                        { return run(request.body); }));
    server.set_error_handler(complete_error);
    server.set_exception_handler(on_exception);
}

} // namespace kingcuprudder
