#include "settings_session.hpp"

#include "command_error.hpp"
#include <kingcuprudder/runtime/timer_service.hpp>
#include <kingcuprudder/runtime/utc_text.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

namespace kingcuprudder
{

namespace
{

std::string login_name()
{
    for (const char* variable : {"SUDO_USER", "LOGNAME", "USER"})
    {
        const char* name = std::getenv(variable);
        if (name != nullptr && *name != '\0')
        {
            return name;
        }
    }
    return "unknown";
}

std::string random_id()
{
    std::random_device random;
    std::ostringstream text;
    text << std::hex << random() << random() << random();
    return text.str();
}

settings_editor::surroundings surroundings_for(const std::string& by)
{
    return {by.empty() ? login_name() : by, system_now, random_id,
            [](span wait) {
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(wait.count()));
            }};
}

void report(const settings_accepted& accepted, bool as_json)
{
    if (as_json)
    {
        nlohmann::json out = {{"accepted", true},
                              {"recorded", accepted.m_recorded},
                              {"changed", accepted.m_differences.size()}};
        if (accepted.m_revision)
        {
            out["revision"] = *accepted.m_revision;
        }
        std::cout << out.dump(2) << "\n";
        return;
    }
    std::cout << to_text(accepted.m_differences);
    if (accepted.m_differences.empty())
    {
        std::cout << "nothing to change";
    }
    else
    {
        std::cout << "accepted";
    }
    if (accepted.m_revision)
    {
        std::cout << ", revision " << *accepted.m_revision;
    }
    std::cout << "\n";
    if (!accepted.m_recorded)
    {
        std::cerr << "kcrctl: the change could not be added to the history\n";
    }
}

[[noreturn]] void report(const settings_race_lost& lost)
{
    std::string text = "another change was faster; nothing was written\n";
    for (const settings_change& each : lost.m_changes)
    {
        text += "change " + std::to_string(each.m_number) + " by " + each.m_by +
                " at " + utc_text(each.m_at) + "\n";
    }
    text += to_text(lost.m_differences);
    text += "the revision is now " + std::to_string(lost.m_current.m_revision);
    throw command_error(exit_code::race_lost, text);
}

} // namespace

settings_session::settings_session(const command_line& line,
                                   const std::string& by)
    : m_store_address(line.store()), m_store(line.store(), line.timeout()),
      m_editor(m_store, surroundings_for(by))
{
}

settings_snapshot settings_session::read_or_empty()
{
    const result<settings_snapshot> found = m_editor.read();
    if (!succeeded(found))
    {
        throw command_error(exit_code::unreachable,
                            "store at " + m_store_address + " did not answer");
    }
    if (value_of(found).m_damaged)
    {
        std::cerr << "kcrctl: revision " << value_of(found).m_revision
                  << " in the store is no settings tree\n";
    }
    return value_of(found);
}

settings_snapshot settings_session::read()
{
    settings_snapshot found = read_or_empty();
    if (found.m_revision == 0)
    {
        throw command_error(exit_code::refused,
                            "store at " + m_store_address +
                                " holds no settings; see kcrctl settings load");
    }
    return found;
}

void settings_session::write(const settings_snapshot& seen,
                             const std::string& tree, bool as_json)
{
    const settings_write_outcome outcome = m_editor.write(seen, tree);
    if (const auto* accepted = std::get_if<settings_accepted>(&outcome))
    {
        report(*accepted, as_json);
    }
    else if (const auto* lost = std::get_if<settings_race_lost>(&outcome))
    {
        report(*lost);
    }
    else if (const auto* unknown =
                 std::get_if<settings_outcome_unknown>(&outcome))
    {
        throw command_error(
            exit_code::unknown,
            "store at " + m_store_address +
                " did not answer; the change may have been written. It was if "
                "kcrctl settings history shows the id " +
                unknown->m_change_id);
    }
    else
    {
        throw command_error(exit_code::refused,
                            std::get<error>(outcome).m_message);
    }
}

std::vector<settings_history_entry> settings_session::history()
{
    const auto found = m_editor.history();
    if (!succeeded(found))
    {
        throw command_error(exit_code::unreachable,
                            "store at " + m_store_address + " did not answer");
    }
    return value_of(found);
}

effective_settings effective_or_throw(const settings_snapshot& snapshot,
                                      const std::string& region)
{
    return value_or_throw(resolve_settings(snapshot.m_tree, region_id(region),
                                           snapshot.m_revision),
                          exit_code::refused);
}

} // namespace kingcuprudder
