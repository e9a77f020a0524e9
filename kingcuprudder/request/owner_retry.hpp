#ifndef KINGCUPRUDDER_REQUEST_OWNER_RETRY_HPP
#define KINGCUPRUDDER_REQUEST_OWNER_RETRY_HPP

#include <kingcuprudder/base/error.hpp>

namespace kingcuprudder
{

/// Whether to retry a call to the region's owner that failed with this code:
/// the owner of the region is changing, or no answer arrived.
bool is_retryable(error_code code);

} // namespace kingcuprudder

#endif
