#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_COMMAND_LINE_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_COMMAND_LINE_HPP

#include "endpoints.hpp"
#include <kingcuprudder/base/time.hpp>

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// The arguments after the name of the command.
using arguments = std::vector<std::string>;

/// The command line of one command: the options of all commands, and those that
/// the command adds to parser() before it calls parse().
class command_line
{
public:
    command_line(const std::string& command, const std::string& summary);

    TCLAP::CmdLine& parser() { return m_parser; }

    /// Throws command_error if the command line is invalid, and TCLAP's
    /// ExitException after --help.
    void parse(const arguments& words);

    /// Whether to print JSON.
    bool json() const { return m_json.getValue(); }

    /// The timeout of one call.
    span timeout() const { return span(m_timeout_ms.getValue()); }

    // The configured region and addresses. Each function throws command_error
    // if its value is missing.
    const std::string& region() const;
    const std::vector<std::string>& entries() const;
    const std::vector<std::string>& schedulers() const;
    const std::string& store() const;
    const std::string& instance_list() const;

    /// Whether the address of an instance list is configured.
    bool has_instance_list() const
    {
        return !m_endpoints.m_instance_list.empty();
    }

private:
    const std::string& require(const std::string& value,
                               const std::string& option) const;
    const std::vector<std::string>&
    require(const std::vector<std::string>& values,
            const std::string& option) const;

    std::string m_command;
    TCLAP::CmdLine m_parser;
    TCLAP::SwitchArg m_json;
    TCLAP::ValueArg<std::string> m_config;
    TCLAP::ValueArg<std::string> m_region;
    TCLAP::MultiArg<std::string> m_entries;
    TCLAP::MultiArg<std::string> m_schedulers;
    TCLAP::ValueArg<std::string> m_store;
    TCLAP::ValueArg<std::string> m_instance_list;
    TCLAP::ValueArg<int> m_timeout_ms;
    endpoints m_endpoints;
};

} // namespace kingcuprudder

#endif
