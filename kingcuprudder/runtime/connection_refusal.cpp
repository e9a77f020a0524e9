#include <kingcuprudder/runtime/connection_refusal.hpp>

namespace kingcuprudder
{

std::string to_string(connection_refusal cause)
{
    switch (cause)
    {
    case connection_refusal::malformed:
        return "malformed";
    case connection_refusal::header_too_large:
        return "header_too_large";
    case connection_refusal::body_too_large:
        return "body_too_large";
    case connection_refusal::framing_too_large:
        return "framing_too_large";
    case connection_refusal::receipt_timeout:
        return "receipt_timeout";
    case connection_refusal::send_timeout:
        return "send_timeout";
    case connection_refusal::over_bytes:
        return "over_bytes";
    case connection_refusal::over_count:
        return "over_count";
    case connection_refusal::too_much_after_end:
        return "too_much_after_end";
    }
    return "unknown";
}

} // namespace kingcuprudder
