#ifndef KINGCUPRUDDER_TOOLS_KCR_LOAD_STAND_IN_HISTORY_HPP
#define KINGCUPRUDDER_TOOLS_KCR_LOAD_STAND_IN_HISTORY_HPP

#include "load_report.hpp"
#include "load_runner.hpp"

namespace kingcuprudder::load
{

/// Reads the histories of the minions and workers and checks them against the
/// answers to the callers. The report lists each history that cannot be read.
load_report check_load(const load_options& options, const load_runner& runner);

} // namespace kingcuprudder::load

#endif
