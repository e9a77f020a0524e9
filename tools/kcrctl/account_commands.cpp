#include "command.hpp"
#include "instance_list.hpp"
#include "settings_session.hpp"
#include "text_table.hpp"
#include <kingcuprudder/codec/json_codec.hpp>
#include <kingcuprudder/placement/guarantee_layout.hpp>

#include <iostream>
#include <map>

namespace kingcuprudder
{

namespace
{

using nlohmann::json;

/// Prints rows as a table, or as a JSON array of objects with the column names
/// as keys.
void print_rows(const command_line& line,
                const std::vector<std::string>& columns, const json& rows)
{
    if (line.json())
    {
        std::cout << rows.dump(2) << "\n";
        return;
    }
    text_table table(columns);
    for (const json& row : rows)
    {
        std::vector<std::string> cells;
        for (const std::string& column : columns)
        {
            const json& value = row.at(column);
            cells.push_back(value.is_string() ? value.get<std::string>()
                                              : value.dump());
        }
        table.add(std::move(cells));
    }
    table.print(std::cout);
}

effective_settings read_effective(const command_line& line)
{
    settings_session session(line, "");
    return effective_or_throw(session.read(), line.region());
}

std::uint64_t guaranteed_accelerators(const account_settings& account)
{
    std::uint64_t total = 0;
    for (const guarantee& each : account.m_guarantees)
    {
        total += std::uint64_t{each.m_count} * each.m_shape.accelerators();
    }
    return total;
}

void list_accounts(command_line& line, const arguments& words)
{
    line.parse(words);
    json rows = json::array();
    for (const auto& [id, account] : read_effective(line).m_accounts)
    {
        rows.push_back(
            {{"account", id.str()},
             {"priority", account.m_priority},
             {"guaranteed_accelerators", guaranteed_accelerators(account)},
             {"max_queued_jobs", account.m_max_queued_jobs},
             {"max_requests_in_flight", account.m_max_requests_in_flight}});
    }
    print_rows(line,
               {"account", "priority", "guaranteed_accelerators",
                "max_queued_jobs", "max_requests_in_flight"},
               rows);
}

/// Returns the number of each guaranteed shape that does not fit on the listed
/// workers.
std::map<std::pair<account_id, shape>, std::uint32_t>
missing_guarantees(const command_line& line, const effective_settings& settings)
{
    std::map<std::pair<account_id, shape>, std::uint32_t> missing;
    for (const guarantee_shortfall& each :
         check_guarantees(settings, read_workers(line)))
    {
        missing[{each.m_account, each.m_shape}] = each.m_missing;
    }
    return missing;
}

void list_guarantees(command_line& line, const arguments& words)
{
    TCLAP::ValueArg<std::string> only("", "account", "Only this account.",
                                      false, "", "account", line.parser());
    line.parse(words);
    const effective_settings settings = read_effective(line);
    const bool with_workers = line.has_instance_list();
    const auto missing =
        with_workers ? missing_guarantees(line, settings)
                     : std::map<std::pair<account_id, shape>, std::uint32_t>();
    json rows = json::array();
    for (const auto& [id, account] : settings.m_accounts)
    {
        if (only.isSet() && id.str() != only.getValue())
        {
            continue;
        }
        for (const guarantee& each : account.m_guarantees)
        {
            const auto found = missing.find({id, each.m_shape});
            const json missing_count =
                found == missing.end() ? 0 : found->second;
            rows.push_back(
                {{"account", id.str()},
                 {"count", each.m_count},
                 {"missing", with_workers ? missing_count : json("?")},
                 {"shape", line.json() ? encode(each.m_shape)
                                       : json(describe(each.m_shape))}});
        }
    }
    print_rows(line, {"account", "count", "missing", "shape"}, rows);
}

void list_classes(command_line& line, const arguments& words)
{
    line.parse(words);
    json rows = json::array();
    for (const auto& [id, job_class] : read_effective(line).m_job_classes)
    {
        rows.push_back(
            {{"class", id.str()},
             {"idempotent", job_class.m_idempotent},
             {"preemptible", job_class.m_preemptible},
             {"urgent", job_class.m_urgent},
             {"default_run_time_ms", job_class.m_default_run_time.count()}});
    }
    print_rows(
        line,
        {"class", "idempotent", "preemptible", "urgent", "default_run_time_ms"},
        rows);
}

} // namespace

std::vector<command> account_commands()
{
    return {{"accounts", "Lists the client accounts.", list_accounts},
            {"guarantees",
             "Lists guaranteed shapes, and which do not fit on the workers.",
             list_guarantees},
            {"classes", "Lists the job classes.", list_classes}};
}

} // namespace kingcuprudder
