#ifndef SOAK_NAMED_SHEETS_HPP
#define SOAK_NAMED_SHEETS_HPP

#include <soak/deployment_sheet.hpp>

#include <string>
#include <vector>

namespace kingcuprudder::soak
{

/// The names of the sheets; the first is the one of a default
/// deployment_sheet.
std::vector<std::string> sheet_names();

/// Returns the sheet of this name. Throws std::invalid_argument if there is
/// none.
deployment_sheet sheet_named(const std::string& name);

} // namespace kingcuprudder::soak

#endif
