#ifndef KINGCUPRUDDER_RUNTIME_UTC_TEXT_HPP
#define KINGCUPRUDDER_RUNTIME_UTC_TEXT_HPP

#include <kingcuprudder/base/time.hpp>

#include <string>

namespace kingcuprudder
{

/// Formats the time in UTC as "2026-01-31T23:59:59.123Z".
std::string utc_text(instant time);

} // namespace kingcuprudder

#endif
