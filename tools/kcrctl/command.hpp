#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_COMMAND_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_COMMAND_HPP

#include "command_line.hpp"

#include <functional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// One command of kcrctl.
struct command
{
    std::string m_name; ///< One or two words, such as "jobs submit".
    std::string m_summary;
    /// Adds the command's options to the command line, parses the arguments
    /// and executes the command. Throws command_error.
    std::function<void(command_line&, const arguments&)> m_run;
};

std::vector<command> job_commands();
std::vector<command> settings_commands();
std::vector<command> account_commands();
std::vector<command> platform_commands();
std::vector<command> process_commands();

} // namespace kingcuprudder

#endif
