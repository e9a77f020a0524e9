#include <kingcuprudder/runtime/process_settings.hpp>
#include <kingcuprudder/settings/nearest_name.hpp>
#include <kingcuprudder/settings/settings_json.hpp>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace kingcuprudder
{

using nlohmann::json;

namespace
{

constexpr unsigned max_port = 65535;

bool is_ip_without_port(const std::string& host)
{
    in6_addr parsed{};
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
    {
        const std::string address = host.substr(1, host.size() - 2);
        return inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
    }
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

bool is_port(std::string_view text)
{
    unsigned port = 0;
    const char* end = text.data() + text.size();
    const auto [last, problem] = std::from_chars(text.data(), end, port);
    return problem == std::errc() && last == end && port >= 1 &&
           port <= max_port;
}

/// Reads the fields one by one and collects every problem.
class process_settings_reader
{
public:
    explicit process_settings_reader(const json& input) : m_input(input) {}

    result<process_settings> read()
    {
        if (!m_input.is_object())
        {
            m_problems.push_back("expected a JSON object");
            return failure();
        }
        process_settings settings;
        settings.m_instance = instance_id(text("instance"));
        settings.m_region = region_id(text("region"));
        settings.m_zone = zone_id(text("zone"));
        settings.m_stream_address = listen_address("stream_address");
        settings.m_http_address = listen_address("http_address");
        settings.m_health_address = listen_address("health_address");
        settings.m_store_address = address("store_address");
        settings.m_instance_list_address = address("instance_list_address");
        settings.m_log = log_options();
        reject_unknown_fields(m_input, "",
                              {"instance", "region", "zone", "stream_address",
                               "http_address", "health_address",
                               "store_address", "instance_list_address",
                               "log"});
        if (!m_problems.empty())
        {
            return failure();
        }
        return settings;
    }

private:
    error failure() const
    {
        std::string message;
        for (const std::string& problem : m_problems)
        {
            message += (message.empty() ? "" : "\n") + problem;
        }
        return {error_code::malformed, message, verdict::not_run};
    }

    void add(const std::string& field, const std::string& problem)
    {
        m_problems.push_back(field + ": " + problem);
    }

    std::string text(const char* field)
    {
        const auto found = m_input.find(field);
        if (found == m_input.end())
        {
            add(field, "is missing");
            return "";
        }
        if (!found->is_string() || found->get<std::string>().empty())
        {
            add(field, "expected a non-empty string, found " + found->dump());
            return "";
        }
        return found->get<std::string>();
    }

    std::string address(const char* field)
    {
        std::string value = text(field);
        if (!value.empty())
        {
            const std::string problem = address_problem(value);
            if (!problem.empty())
            {
                add(field, problem);
            }
        }
        return value;
    }

    std::string listen_address(const char* field)
    {
        std::string value = address(field);
        if (!value.empty() && !m_listen_addresses.insert(value).second)
        {
            add(field, "another field has the same address '" + value + "'");
        }
        return value;
    }

    logging_options log_options()
    {
        logging_options options;
        const json& log = member_or_empty(m_input, "log");
        if (!log.is_object())
        {
            add("log", "expected an object, found " + log.dump());
            return options;
        }
        reject_unknown_fields(log, "log.", {"level", "layout"});
        read_choice(log, "level", {"debug", "info", "warning", "error"},
                    log_level_from_string, options.m_level);
        read_choice(log, "layout", {"text", "json"}, log_layout_from_string,
                    options.m_layout);
        return options;
    }

    template <class Choice, class Parse>
    void read_choice(const json& log, const char* field,
                     const std::vector<std::string>& known, Parse parse,
                     Choice& to)
    {
        const auto found = log.find(field);
        if (found == log.end())
        {
            return;
        }
        const std::string name =
            found->is_string() ? found->get<std::string>() : found->dump();
        const auto choice = parse(name);
        if (!choice)
        {
            add(std::string("log.") + field,
                unknown_name_message(field, name, known));
            return;
        }
        to = *choice;
    }

    void reject_unknown_fields(const json& object, const std::string& prefix,
                               const std::vector<std::string>& known)
    {
        for (const auto& each : object.items())
        {
            if (std::find(known.begin(), known.end(), each.key()) ==
                known.end())
            {
                add(prefix + each.key(),
                    unknown_name_message("field", each.key(), known));
            }
        }
    }

    const json& m_input;
    std::set<std::string> m_listen_addresses;
    std::vector<std::string> m_problems;
};

} // namespace

std::string address_problem(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        return "'" + address + "' has no port; expected IP address:port";
    }
    if (!is_ip_without_port(address.substr(0, colon)))
    {
        return "'" + address.substr(0, colon) +
               "' is not an IP address; host names are not resolved";
    }
    if (!is_port(std::string_view(address).substr(colon + 1)))
    {
        return "'" + address.substr(colon + 1) +
               "' is not a port from 1 to 65535";
    }
    return "";
}

result<process_settings> parse_process_settings(std::string_view text)
{
    try
    {
        return process_settings_reader(parse_json_without_duplicates(text))
            .read();
    }
    catch (const std::exception& problem)
    {
        return error{error_code::malformed,
                     std::string("not valid JSON: ") + problem.what(),
                     verdict::not_run};
    }
}

result<process_settings> load_process_settings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        return error{error_code::malformed, path + ": cannot be read",
                     verdict::not_run};
    }
    std::stringstream text;
    text << file.rdbuf();
    result<process_settings> parsed = parse_process_settings(text.str());
    if (!succeeded(parsed))
    {
        error problem = error_of(parsed);
        problem.m_message = path + ": " + problem.m_message;
        return problem;
    }
    return parsed;
}

} // namespace kingcuprudder
