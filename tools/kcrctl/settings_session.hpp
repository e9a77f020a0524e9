#ifndef KINGCUPRUDDER_TOOLS_KCRCTL_SETTINGS_SESSION_HPP
#define KINGCUPRUDDER_TOOLS_KCRCTL_SETTINGS_SESSION_HPP

#include "command_line.hpp"
#include <kingcuprudder/service/settings_editor.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>
#include <kingcuprudder/store/http_key_value_store.hpp>

#include <string>
#include <vector>

namespace kingcuprudder
{

/// The settings tree in the store, for the duration of one command.
class settings_session
{
public:
    /// Changes are recorded in the history under this operator name, or under
    /// the login name if it is empty.
    settings_session(const command_line& line, const std::string& by);

    /// Returns the tree in the store. Throws command_error if the store cannot
    /// be reached or contains no settings.
    settings_snapshot read();

    /// Like read(), but returns an empty tree if the store contains none.
    settings_snapshot read_or_empty();

    /// Replaces the tree and prints the outcome. Throws command_error unless
    /// the change is confirmed to be in the store.
    void write(const settings_snapshot& seen, const std::string& tree,
               bool as_json);

    std::vector<settings_history_entry> history();

private:
    std::string m_store_address;
    http_key_value_store m_store;
    settings_editor m_editor;
};

/// Returns the effective settings of a region. Throws command_error with every
/// problem of the tree.
effective_settings effective_or_throw(const settings_snapshot& snapshot,
                                      const std::string& region);

} // namespace kingcuprudder

#endif
