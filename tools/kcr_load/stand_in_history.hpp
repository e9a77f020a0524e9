#ifndef KINGCUPRUDDER_TOOLS_KCR_LOAD_STAND_IN_HISTORY_HPP
#define KINGCUPRUDDER_TOOLS_KCR_LOAD_STAND_IN_HISTORY_HPP

#include "load_report.hpp"
#include "load_runner.hpp"

namespace kingcuprudder::load
{

/// Reads what the minions and workers have run and checks it against what
/// the callers were told. A history that cannot be read is listed in the
/// report.
load_report check_load(const load_options& options, const load_runner& runner);

} // namespace kingcuprudder::load

#endif
