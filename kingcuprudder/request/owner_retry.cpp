#include <kingcuprudder/request/owner_retry.hpp>

namespace kingcuprudder
{

bool is_retryable(error_code code)
{
    switch (code)
    {
    case error_code::not_owner:
    case error_code::owner_unavailable:
    case error_code::stale_epoch:
    case error_code::connection_lost:
    case error_code::deadline_exceeded:
        return true;
    default:
        return false;
    }
}

} // namespace kingcuprudder
