#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_GUARANTEE_CHECK_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_GUARANTEE_CHECK_HPP

#include "command_line.hpp"
#include <kingcuprudder/settings/settings_edit.hpp>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// Throws command_error when guarantees of the new tree do not fit on the
/// region's workers. What does not fit with the tree before either is let
/// pass, so that settings can be changed while an availability zone is lost.
void refuse_new_shortfalls(const command_line& line, const std::string& before,
                           const std::string& after);

/// What differs between the effective settings of a region in two trees.
std::vector<settings_difference>
effective_differences(const std::string& before, const std::string& after,
                      const std::string& region);

} // namespace kingcuprudder

#endif
