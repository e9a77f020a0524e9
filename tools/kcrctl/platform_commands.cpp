#include "command.hpp"
#include "instance_list.hpp"
#include "text_table.hpp"

#include <iostream>

namespace kingcuprudder
{

namespace
{

using nlohmann::json;

std::string cell(const json& from, const char* name)
{
    if (!from.contains(name))
    {
        return "-";
    }
    const json& value = from.at(name);
    return value.is_string() ? value.get<std::string>() : value.dump();
}

/// Prints the entries of the list that the filter accepts.
template <class Filter>
void print_instances(const command_line& line,
                     const std::vector<std::string>& columns, Filter takes)
{
    json shown = json::array();
    for (const json& each : read_instances(line))
    {
        if (takes(each))
        {
            shown.push_back(each);
        }
    }
    if (line.json())
    {
        std::cout << shown.dump(2) << "\n";
        return;
    }
    text_table table(columns);
    for (const json& each : shown)
    {
        std::vector<std::string> row;
        row.reserve(columns.size());
        for (const std::string& column : columns)
        {
            row.push_back(cell(each, column.c_str()));
        }
        table.add(std::move(row));
    }
    table.print(std::cout);
}

void list_workers(command_line& line, const arguments& words)
{
    line.parse(words);
    print_instances(line,
                    {"id", "zone", "rack", "state", "accelerators", "cores",
                     "memory_mb", "address"},
                    [](const json& each)
                    { return each.value("service", "") == worker_service; });
}

void list_instances(command_line& line, const arguments& words)
{
    TCLAP::ValueArg<std::string> service("", "service", "Only this service.",
                                         false, "", "name", line.parser());
    line.parse(words);
    print_instances(line, {"id", "service", "zone", "state", "address"},
                    [&](const json& each)
                    {
                        return !service.isSet() ||
                               each.value("service", "") == service.getValue();
                    });
}

} // namespace

std::vector<command> platform_commands()
{
    return {
        {"workers", "Lists the workers of the region.", list_workers},
        {"instances", "Lists the instances of all services.", list_instances}};
}

} // namespace kingcuprudder
