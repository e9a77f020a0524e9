#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_EXIT_CODE_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_EXIT_CODE_HPP

namespace kingcuprudder
{

/// How a command ended. Scripts rely on the numbers; docs/OPERATIONS.md lists
/// them.
enum class exit_code
{
    success = 0,
    internal = 1,    ///< A fault of kcrctl itself.
    usage = 2,       ///< The command line is wrong.
    refused = 3,     ///< The call was answered with a refusal.
    race_lost = 4,   ///< Another operator changed the settings first.
    unreachable = 5, ///< A process could not be reached; nothing was done.
    unknown = 6,     ///< No answer came; the call may have taken effect.
};

} // namespace kingcuprudder

#endif
