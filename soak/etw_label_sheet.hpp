#ifndef SOAK_ETW_LABEL_SHEET_HPP
#define SOAK_ETW_LABEL_SHEET_HPP

#include <soak/deployment_sheet.hpp>

namespace kingcuprudder::soak
{

/// Returns the size, the times and the load of the deployment etw-label: seven
/// processes in three availability zones and 48 workers.
deployment_sheet etw_label_sheet();

} // namespace kingcuprudder::soak

#endif
