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
    /// The operator's name goes into the history; empty takes the login name.
    settings_session(const command_line& line, const std::string& by);

    /// The tree that the store holds. Throws command_error when the store
    /// cannot be reached or holds no settings.
    settings_snapshot read();

    /// As read(), but returns an empty tree when the store holds none.
    settings_snapshot read_or_empty();

    /// Replaces the tree and reports the outcome to the operator. Throws
    /// command_error when the change is not in the store afterwards.
    void write(const settings_snapshot& seen, const std::string& tree,
               bool as_json);

    std::vector<settings_history_entry> history();

private:
    std::string m_store_address;
    http_key_value_store m_store;
    settings_editor m_editor;
};

/// The effective settings of the region that the command line names. Throws
/// command_error with every problem of the tree.
effective_settings effective_or_throw(const settings_snapshot& snapshot,
                                      const std::string& region);

} // namespace kingcuprudder

#endif
