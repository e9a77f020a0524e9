#ifndef KINGCUPRUDDER_RUNTIME_HTTP_MESSAGE_HPP
#define KINGCUPRUDDER_RUNTIME_HTTP_MESSAGE_HPP

#include <kingcuprudder/base/time.hpp>

#include <functional>
#include <map>
#include <string>

namespace kingcuprudder
{

/// A complete HTTP request.
struct http_request
{
    std::string m_method;
    /// The decoded path without the query.
    std::string m_path;
    /// The header fields, by name in lower case.
    std::map<std::string, std::string> m_headers;
    std::string m_body;
    /// The earliest time at which the first bytes of the request may have
    /// arrived, on the clock of boottime_now().
    instant m_begun_at;
    /// When the last byte of the request was read, on the same clock.
    instant m_received_at;

    /// Returns the value of the field with this name in lower case, or "".
    std::string header(const std::string& name) const;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/// The response to an HTTP request.
struct http_response
{
    int m_status = 200;
    std::string m_content_type = "application/json";
    std::map<std::string, std::string> m_headers;
    std::string m_body;
    /// Whether the connection is closed after the response.
    bool m_close = false;

    friend bool operator==(const http_response&,
                           const http_response&) = default;
};

/// Makes the response to a request.
using http_handler = std::function<http_response(const http_request&)>;

} // namespace kingcuprudder

#endif
