#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_GUARANTEE_CHECK_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_GUARANTEE_CHECK_HPP

#include "command_line.hpp"
#include <kingcuprudder/settings/settings_edit.hpp>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// Throws command_error if guarantees of the new tree do not fit on the
/// region's workers. Guarantees that do not fit with the previous tree either
/// are accepted, so that settings can be changed during the loss of an
/// availability zone.
void refuse_new_shortfalls(const command_line& line, const std::string& before,
                           const std::string& after);

/// Returns the differences between the effective settings of a region in two
/// trees.
std::vector<settings_difference>
effective_differences(const std::string& before, const std::string& after,
                      const std::string& region);

} // namespace kingcuprudder

#endif
