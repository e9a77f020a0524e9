#include "command.hpp"
#include "command_error.hpp"
#include <kingcuprudder/settings/nearest_name.hpp>

#include <cstddef>
#include <iostream>
#include <utility>

namespace
{

using namespace kingcuprudder;

std::vector<command> all_commands()
{
    std::vector<command> all;
    for (auto group : {job_commands, settings_commands, account_commands,
                       platform_commands, process_commands})
    {
        const std::vector<command> commands = group();
        all.insert(all.end(), commands.begin(), commands.end());
    }
    return all;
}

bool is_help_option(const std::string& word)
{
    return word == "--help" || word == "-h" || word == "help";
}

/// Prints the commands, or only those of the group if it is not empty.
void print_commands(const std::vector<command>& all, const std::string& group)
{
    constexpr std::size_t column = 20;
    std::cout << "Usage: kcrctl <command> [options]\n"
                 "Operates the schedulers of a region. 'kcrctl <command> "
                 "--help' shows a command's options.\n\n";
    for (const command& each : all)
    {
        if (group.empty() || each.m_name.rfind(group + " ", 0) == 0)
        {
            std::string name = each.m_name;
            name.resize(std::max(column, name.size() + 2), ' ');
            std::cout << "  " << name << each.m_summary << "\n";
        }
    }
}

/// Returns the command named by the first one or two words, and the number of
/// words in its name.
std::pair<const command*, std::size_t>
find_command(const std::vector<command>& all, const arguments& words)
{
    for (std::size_t count : {std::size_t{2}, std::size_t{1}})
    {
        if (words.size() < count)
        {
            continue;
        }
        const std::string name =
            count == 2 ? words[0] + " " + words[1] : words[0];
        for (const command& each : all)
        {
            if (each.m_name == name)
            {
                return {&each, count};
            }
        }
    }
    return {nullptr, 0};
}

bool is_group(const std::vector<command>& all, const std::string& word)
{
    for (const command& each : all)
    {
        if (each.m_name.rfind(word + " ", 0) == 0)
        {
            return true;
        }
    }
    return false;
}

[[noreturn]] void refuse_unknown(const std::vector<command>& all,
                                 const arguments& words)
{
    std::vector<std::string> names;
    names.reserve(all.size());
    for (const command& each : all)
    {
        names.push_back(each.m_name);
    }
    std::string name = words[0];
    if (words.size() > 1 && !nearest_name(name, names))
    {
        name += " " + words[1];
    }
    throw command_error(exit_code::usage,
                        unknown_name_message("command", name, names));
}

void run(const arguments& words)
{
    const std::vector<command> all = all_commands();
    const auto [found, count] = find_command(all, words);
    if (found != nullptr)
    {
        command_line line(found->m_name, found->m_summary);
        const auto rest = words.begin() + static_cast<std::ptrdiff_t>(count);
        found->m_run(line, arguments(rest, words.end()));
        return;
    }
    if (words.empty())
    {
        print_commands(all, "");
        throw command_error(exit_code::usage, "a command is needed");
    }
    if (is_help_option(words[0]))
    {
        print_commands(all, "");
        return;
    }
    if (is_group(all, words[0]) &&
        (words.size() == 1 || is_help_option(words[1])))
    {
        print_commands(all, words[0]);
        return;
    }
    refuse_unknown(all, words);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        run(arguments(argv + 1, argv + argc));
        return static_cast<int>(exit_code::success);
    }
    catch (const command_error& problem)
    {
        std::cerr << "kcrctl: " << problem.what() << "\n";
        return static_cast<int>(problem.code());
    }
    catch (const TCLAP::ExitException& end)
    {
        return end.getExitStatus();
    }
    catch (const std::exception& problem)
    {
        std::cerr << "kcrctl: internal fault: " << problem.what() << "\n";
        return static_cast<int>(exit_code::internal);
    }
}
