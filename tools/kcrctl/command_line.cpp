#include "command_line.hpp"

#include "command_error.hpp"

#include <cstdlib>

namespace kingcuprudder
{

namespace
{

constexpr const char* version = "0.1.0";
constexpr const char* config_variable = "KCRCTL_CONFIG";
constexpr int default_timeout_ms = 5000;

std::string default_config()
{
    const char* path = std::getenv(config_variable);
    return path == nullptr ? "" : path;
}

} // namespace

command_line::command_line(const std::string& command,
                           const std::string& summary)
    : m_command(command), m_parser(summary, ' ', version),
      m_json("", "json", "Print JSON.", m_parser),
      m_config("", "config",
               "File with the addresses; KCRCTL_CONFIG names the default.",
               false, default_config(), "path", m_parser),
      m_region("", "region", "Region.", false, "", "name", m_parser),
      m_entries("", "entry",
                "HTTP address of an entry process; the next one given is "
                "asked when one is down.",
                false, "ip:port", m_parser),
      m_schedulers("", "scheduler", "HTTP address of a scheduler.", false,
                   "ip:port", m_parser),
      m_store("", "store", "Address of the store.", false, "", "ip:port",
              m_parser),
      m_instance_list("", "instance-list", "Address of the instance list.",
                      false, "", "ip:port", m_parser),
      m_timeout_ms("", "timeout-ms", "How long one call may take.", false,
                   default_timeout_ms, "milliseconds", m_parser)
{
    m_parser.setExceptionHandling(false);
}

void command_line::parse(const arguments& words)
{
    std::vector<std::string> all{"kcrctl " + m_command};
    all.insert(all.end(), words.begin(), words.end());
    try
    {
        m_parser.parse(all);
    }
    catch (const TCLAP::ArgException& problem)
    {
        throw command_error(exit_code::usage,
                            problem.argId() + " " + problem.error() +
                                "; see kcrctl " + m_command + " --help");
    }
    if (m_timeout_ms.getValue() <= 0)
    {
        throw command_error(exit_code::usage, "--timeout-ms must be positive");
    }
    if (!m_config.getValue().empty())
    {
        m_endpoints = load_endpoints(m_config.getValue());
    }
    const auto override_with = [](auto& value, const auto& given)
    {
        if (!given.empty())
        {
            value = given;
        }
    };
    override_with(m_endpoints.m_region, m_region.getValue());
    override_with(m_endpoints.m_entries, m_entries.getValue());
    override_with(m_endpoints.m_schedulers, m_schedulers.getValue());
    override_with(m_endpoints.m_store, m_store.getValue());
    override_with(m_endpoints.m_instance_list, m_instance_list.getValue());
    check_endpoints(m_endpoints);
}

const std::string& command_line::require(const std::string& value,
                                         const std::string& option) const
{
    if (value.empty())
    {
        throw command_error(exit_code::usage, "kcrctl " + m_command +
                                                  " needs --" + option +
                                                  " or a --config file");
    }
    return value;
}

const std::vector<std::string>&
command_line::require(const std::vector<std::string>& values,
                      const std::string& option) const
{
    require(values.empty() ? std::string() : values.front(), option);
    return values;
}

const std::string& command_line::region() const
{
    return require(m_endpoints.m_region, "region");
}

const std::vector<std::string>& command_line::entries() const
{
    return require(m_endpoints.m_entries, "entry");
}

const std::vector<std::string>& command_line::schedulers() const
{
    return require(m_endpoints.m_schedulers, "scheduler");
}

const std::string& command_line::store() const
{
    return require(m_endpoints.m_store, "store");
}

const std::string& command_line::instance_list() const
{
    return require(m_endpoints.m_instance_list, "instance-list");
}

} // namespace kingcuprudder
