#ifndef KINGCUPRUDDER_REQUEST_OWNER_RETRY_HPP
#define KINGCUPRUDDER_REQUEST_OWNER_RETRY_HPP

#include <kingcuprudder/base/error.hpp>

namespace kingcuprudder
{

/// Whether a call to the region's owner that failed so is worth repeating:
/// the region changes its owner, or the connection broke.
bool is_retryable(error_code code);

} // namespace kingcuprudder

#endif
