#include "endpoints.hpp"

#include "command_error.hpp"
#include <kingcuprudder/runtime/process_settings.hpp>
#include <kingcuprudder/settings/nearest_name.hpp>
#include <kingcuprudder/settings/settings_json.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace kingcuprudder
{

namespace
{

using nlohmann::json;

void refuse_unknown(const std::string& path, const json& file)
{
    const std::vector<std::string> allowed{"region", "entries", "schedulers",
                                           "store", "instance_list"};
    for (const auto& each : file.items())
    {
        if (std::find(allowed.begin(), allowed.end(), each.key()) ==
            allowed.end())
        {
            throw command_error(
                exit_code::usage,
                path + ": " +
                    unknown_name_message("field", each.key(), allowed));
        }
    }
}

void check_address(const std::string& name, const std::string& address)
{
    const std::string problem = address_problem(address);
    if (!problem.empty())
    {
        throw command_error(exit_code::usage, name + ": " + problem);
    }
}

} // namespace

endpoints load_endpoints(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw command_error(exit_code::usage, path + ": cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    try
    {
        const json read = parse_json_without_duplicates(text.str());
        refuse_unknown(path, read);
        endpoints where;
        const std::vector<std::string> none;
        where.m_region = read.value("region", "");
        where.m_entries = read.value("entries", none);
        where.m_schedulers = read.value("schedulers", none);
        where.m_store = read.value("store", "");
        where.m_instance_list = read.value("instance_list", "");
        return where;
    }
    catch (const json::exception& problem)
    {
        throw command_error(exit_code::usage, path + ": " + problem.what());
    }
}

void check_endpoints(const endpoints& where)
{
    for (const std::string& each : where.m_entries)
    {
        check_address("entry", each);
    }
    for (const std::string& each : where.m_schedulers)
    {
        check_address("scheduler", each);
    }
    if (!where.m_store.empty())
    {
        check_address("store", where.m_store);
    }
    if (!where.m_instance_list.empty())
    {
        check_address("instance-list", where.m_instance_list);
    }
}

} // namespace kingcuprudder
