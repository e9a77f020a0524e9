#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_EXIT_CODE_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_EXIT_CODE_HPP

namespace kingcuprudder
{

/// The exit codes of kcrctl. Scripts depend on the numbers, which
/// docs/OPERATIONS.md lists.
enum class exit_code
{
    success = 0,
    internal = 1,    ///< An internal error of kcrctl.
    usage = 2,       ///< The command line is invalid.
    refused = 3,     ///< The call was refused.
    race_lost = 4,   ///< Another operator changed the settings first.
    unreachable = 5, ///< A process cannot be reached; nothing changed.
    unknown = 6,     ///< No answer; the call may have taken effect.
};

} // namespace kingcuprudder

#endif
