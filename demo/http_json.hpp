#ifndef KINGCUPRUDDER_DEMO_HTTP_JSON_HPP
#define KINGCUPRUDDER_DEMO_HTTP_JSON_HPP

#include <kingcuprudder/base/time.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace kingcuprudder::demo
{

/// An HTTP response. The status is 0 if none was received.
struct http_answer
{
    int m_status = 0;
    std::string m_body;

    friend auto operator<=>(const http_answer&, const http_answer&) = default;
};

/// Sends one HTTP request to "ip:port" on a new connection.
http_answer http_get(const std::string& address, const std::string& path,
                     span timeout = span::seconds(5));
http_answer http_post(const std::string& address, const std::string& path,
                      const nlohmann::json& body,
                      span timeout = span::seconds(5));
http_answer http_delete(const std::string& address, const std::string& path,
                        span timeout = span::seconds(5));

/// Returns the body as JSON, or a discarded value if it is not JSON.
nlohmann::json json_of(const http_answer& answer);

} // namespace kingcuprudder::demo

#endif
