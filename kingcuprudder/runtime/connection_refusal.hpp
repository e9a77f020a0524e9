#ifndef KINGCUPRUDDER_RUNTIME_CONNECTION_REFUSAL_HPP
#define KINGCUPRUDDER_RUNTIME_CONNECTION_REFUSAL_HPP

#include <string>

namespace kingcuprudder
{

/// Why a server refused a request or closed a connection by itself.
enum class connection_refusal
{
    malformed,          ///< What was sent is not HTTP.
    header_too_large,   ///< Refused with status 431.
    body_too_large,     ///< Refused with status 413.
    framing_too_large,  ///< Refused with status 400.
    receipt_timeout,    ///< Refused with status 408.
    send_timeout,       ///< The response was not taken in time.
    over_bytes,         ///< All connections together held too many bytes.
    over_count,         ///< There were too many connections.
    too_much_after_end, ///< Much was sent after the last response.
};

/// Returns the name of a cause for logs and metrics.
std::string to_string(connection_refusal cause);

} // namespace kingcuprudder

#endif
