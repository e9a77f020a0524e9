#include "command.hpp"
#include "command_error.hpp"
#include "guarantee_check.hpp"
#include "settings_session.hpp"
#include "text_table.hpp"
#include <kingcuprudder/runtime/utc_text.hpp>
#include <kingcuprudder/settings/check_settings.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>
#include <kingcuprudder/settings/settings_json_schema.hpp>

#include <nlohmann/json.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace kingcuprudder
{

namespace
{

using nlohmann::json;

std::string read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
    {
        throw command_error(exit_code::usage, path + ": cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// Returns the text of a file that contains a JSON object.
std::string read_tree_file(const std::string& path)
{
    std::string text = read_file(path);
    if (!is_editable_settings_document(text))
    {
        throw command_error(exit_code::refused,
                            path + ": is not a settings tree in JSON");
    }
    return text;
}

json optional_json(const std::optional<std::string>& value)
{
    return value ? json::parse(*value) : json();
}

json differences_json(const std::vector<settings_difference>& differences)
{
    json list = json::array();
    for (const settings_difference& each : differences)
    {
        list.push_back({{"path", each.m_path},
                        {"before", optional_json(each.m_before)},
                        {"after", optional_json(each.m_after)}});
    }
    return list;
}

void print_differences(const command_line& line,
                       const std::vector<settings_difference>& differences)
{
    if (line.json())
    {
        std::cout << differences_json(differences).dump(2) << "\n";
        return;
    }
    std::cout << to_text(differences);
}

bool below(const std::string& path, const std::string& prefix)
{
    return prefix.empty() || path == prefix || path.rfind(prefix + ".", 0) == 0;
}

/// Prints each effective value with the level of the tree that sets it.
void print_effective(const command_line& line, const std::string& tree,
                     const std::string& prefix)
{
    const auto origins = value_or_throw(
        explain_settings(tree, region_id(line.region())), exit_code::refused);
    text_table table({"PATH", "VALUE", "STATED BY"});
    json list = json::array();
    for (const settings_origin& each : origins)
    {
        if (below(each.m_path, prefix))
        {
            table.add({each.m_path, each.m_value, each.m_level});
            list.push_back({{"path", each.m_path},
                            {"value", json::parse(each.m_value)},
                            {"stated_by", each.m_level}});
        }
    }
    if (list.empty())
    {
        throw command_error(exit_code::refused,
                            prefix + ": no effective setting has this path");
    }
    if (line.json())
    {
        std::cout << list.dump(2) << "\n";
        return;
    }
    table.print(std::cout);
}

void get(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> path(
        "path",
        "Dotted path; below the region with --effective. Everything by "
        "default.",
        false, "", "path", line.parser());
    TCLAP::SwitchArg effective("", "effective",
                               "Show the region's effective values and the "
                               "level that states each.",
                               line.parser());
    line.parse(words);
    settings_session session(line, "");
    const settings_snapshot found = session.read();
    if (effective.getValue())
    {
        print_effective(line, found.m_tree, path.getValue());
        return;
    }
    const std::string value = value_or_throw(
        setting_at(found.m_tree, path.getValue()), exit_code::refused);
    if (line.json())
    {
        const json out = {{"revision", found.m_revision},
                          {"value", json::parse(value)}};
        std::cout << out.dump(2) << "\n";
        return;
    }
    std::cout << value << "\n";
    std::cerr << "revision " << found.m_revision << "\n";
}

/// The options of all commands that change the tree.
struct change_options
{
    explicit change_options(command_line& line)
        : m_by("", "by", "Operator named in the history.", false, "", "name",
               line.parser()),
          m_revision("", "revision",
                     "Change only this revision, the one seen by the "
                     "operator.",
                     false, 0, "number", line.parser()),
          m_dry_run("", "dry-run", "Check and show the change only.",
                    line.parser()),
          m_skip_workers("", "skip-workers",
                         "Do not check whether the guarantees fit on the "
                         "workers.",
                         line.parser())
    {
    }

    TCLAP::ValueArg<std::string> m_by;
    TCLAP::ValueArg<std::uint64_t> m_revision;
    TCLAP::SwitchArg m_dry_run;
    TCLAP::SwitchArg m_skip_workers;
};

/// Throws command_error with the changes since the given revision if the tree
/// has another revision.
void check_revision(settings_session& session, const settings_snapshot& found,
                    std::uint64_t seen)
{
    if (found.m_revision == seen)
    {
        return;
    }
    std::string text = "the revision is now " +
                       std::to_string(found.m_revision) + ", not " +
                       std::to_string(seen) + "; nothing was written";
    for (const settings_history_entry& each : session.history())
    {
        if (each.m_revision > seen)
        {
            text += "\nchange " + std::to_string(each.m_change.m_number) +
                    " by " + each.m_change.m_by + " at " +
                    utc_text(each.m_change.m_at) + "\n" +
                    to_text(each.m_differences);
        }
    }
    throw command_error(exit_code::race_lost, text);
}

using edit = std::function<result<std::string>(const std::string& tree)>;

void change(const command_line& line, const change_options& options,
            const edit& apply)
{
    settings_session session(line, options.m_by.getValue());
    const settings_snapshot found = session.read_or_empty();
    if (options.m_revision.isSet())
    {
        check_revision(session, found, options.m_revision.getValue());
    }
    const std::string tree =
        value_or_throw(apply(found.m_tree), exit_code::refused);
    const auto problems = check_settings(tree);
    if (!problems.empty())
    {
        throw command_error(exit_code::refused, to_text(problems));
    }
    if (!options.m_skip_workers.getValue())
    {
        refuse_new_shortfalls(line, found.m_tree, tree);
    }
    if (options.m_dry_run.getValue())
    {
        print_differences(line, settings_differences(found.m_tree, tree));
        return;
    }
    session.write(found, tree, line.json());
}

void set(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> path("path", "Dotted path.", true, "",
                                               "path", line.parser());
    TCLAP::UnlabeledValueArg<std::string> value(
        "value", "JSON text, or a word for a string.", true, "", "value",
        line.parser());
    const change_options options(line);
    line.parse(words);
    change(line, options,
           [&](const std::string& tree)
           { return with_setting(tree, path.getValue(), value.getValue()); });
}

void unset(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> path("path", "Dotted path.", true, "",
                                               "path", line.parser());
    const change_options options(line);
    line.parse(words);
    change(line, options,
           [&](const std::string& tree)
           { return without_setting(tree, path.getValue()); });
}

void load(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> file("file", "Settings tree.", true,
                                               "", "path", line.parser());
    const change_options options(line);
    line.parse(words);
    const std::string tree = read_file(file.getValue());
    change(line, options,
           [&](const std::string&) -> result<std::string> { return tree; });
}

void diff(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "Settings tree to compare with the store.", true, "", "path",
        line.parser());
    TCLAP::SwitchArg effective("", "effective",
                               "Compare the region's effective values.",
                               line.parser());
    line.parse(words);
    const std::string tree = read_tree_file(file.getValue());
    settings_session session(line, "");
    const settings_snapshot found = session.read();
    if (effective.getValue())
    {
        print_differences(
            line, effective_differences(found.m_tree, tree, line.region()));
        return;
    }
    print_differences(line, settings_differences(found.m_tree, tree));
}

void check(command_line& line, const arguments& words)
{
    TCLAP::UnlabeledValueArg<std::string> file(
        "file", "Settings tree; the one in the store by default.", false, "",
        "path", line.parser());
    line.parse(words);
    const std::string tree = file.isSet()
                                 ? read_file(file.getValue())
                                 : settings_session(line, "").read().m_tree;
    const auto problems = check_settings(tree);
    if (!problems.empty())
    {
        throw command_error(exit_code::refused, to_text(problems));
    }
    if (line.has_instance_list())
    {
        refuse_new_shortfalls(line, "{}", tree);
        std::cout << "no problems; the guarantees fit on the workers\n";
        return;
    }
    std::cout << "no problems; the guarantees were not checked against the "
                 "workers, which needs --instance-list\n";
}

void history(command_line& line, const arguments& words)
{
    TCLAP::ValueArg<unsigned> limit("", "limit", "Changes to show.", false, 10,
                                    "count", line.parser());
    line.parse(words);
    std::vector<settings_history_entry> entries =
        settings_session(line, "").history();
    entries.resize(std::min<std::size_t>(entries.size(), limit.getValue()));
    json list = json::array();
    for (const settings_history_entry& each : entries)
    {
        const settings_change& made = each.m_change;
        if (line.json())
        {
            list.push_back(
                {{"number", made.m_number},
                 {"id", made.m_id},
                 {"by", made.m_by},
                 {"at_ms", made.m_at.count()},
                 {"revision", each.m_revision},
                 {"recorded", each.m_recorded},
                 {"differences", differences_json(each.m_differences)}});
            continue;
        }
        std::cout << "change " << made.m_number << " by " << made.m_by << " at "
                  << utc_text(made.m_at) << ", revision " << each.m_revision
                  << ", id " << made.m_id << "\n"
                  << (each.m_recorded ? to_text(each.m_differences)
                                      : "differences were not recorded\n");
    }
    if (line.json())
    {
        std::cout << list.dump(2) << "\n";
    }
}

void schema(command_line& line, const arguments& words)
{
    line.parse(words);
    std::cout << settings_json_schema();
}

} // namespace

std::vector<command> settings_commands()
{
    return {{"settings get", "Shows settings.", get},
            {"settings set", "Changes one setting.", set},
            {"settings unset", "Removes one setting or entry.", unset},
            {"settings load", "Replaces the whole tree by a file.", load},
            {"settings diff", "Compares a file with the store.", diff},
            {"settings check", "Lists every problem of a tree.", check},
            {"settings history", "Shows the last changes.", history},
            {"settings schema", "Prints the JSON Schema of the tree.", schema}};
}

} // namespace kingcuprudder
