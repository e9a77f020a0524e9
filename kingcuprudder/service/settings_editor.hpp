#ifndef KINGCUPRUDDER_SERVICE_SETTINGS_EDITOR_HPP
#define KINGCUPRUDDER_SERVICE_SETTINGS_EDITOR_HPP

#include <kingcuprudder/settings/settings_changes.hpp>
#include <kingcuprudder/settings/settings_edit.hpp>
#include <kingcuprudder/store/key_value_store.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kingcuprudder
{

/// The settings tree at one revision. Revision 0 stands for a store without
/// settings.
struct settings_snapshot
{
    std::string m_tree = "{}";
    store_revision m_revision = 0;
    /// Whether the stored value is not a valid settings document. The tree is
    /// then empty, so that a valid one can replace it.
    bool m_damaged = false;

    friend auto operator<=>(const settings_snapshot&,
                            const settings_snapshot&) = default;
};

/// The change was written to the store.
struct settings_accepted
{
    /// The revision that the change created; nullopt if the tree was changed
    /// again before it could be read back.
    std::optional<store_revision> m_revision;
    std::vector<settings_difference> m_differences;
    /// Whether the change was added to the history.
    bool m_recorded = true;

    friend bool operator==(const settings_accepted&,
                           const settings_accepted&) = default;
};

/// Another operator changed the tree first. Nothing was written.
struct settings_race_lost
{
    settings_snapshot m_current;
    /// The differences between the operator's snapshot and the current tree.
    std::vector<settings_difference> m_differences;
    std::vector<settings_change> m_changes; ///< The concurrent changes.

    friend bool operator==(const settings_race_lost&,
                           const settings_race_lost&) = default;
};

/// The store did not respond, so the change may or may not have been written.
struct settings_outcome_unknown
{
    std::string m_change_id; ///< Listed in the history if accepted.

    friend auto operator<=>(const settings_outcome_unknown&,
                            const settings_outcome_unknown&) = default;
};

/// The outcome of a change. An error means that nothing was written.
using settings_write_outcome =
    std::variant<settings_accepted, settings_race_lost,
                 settings_outcome_unknown, error>;

/// A change with its differences.
struct settings_history_entry
{
    settings_change m_change;
    store_revision m_revision = 0; ///< 0 if not recorded.
    std::vector<settings_difference> m_differences;
    /// False if the operator's tool ended before it wrote the history entry.
    bool m_recorded = true;

    friend bool operator==(const settings_history_entry&,
                           const settings_history_entry&) = default;
};

/// Reads and changes the settings tree in the store on behalf of an operator. A
/// change never overwrites another change that is newer than the snapshot it is
/// based on.
class settings_editor
{
public:
    /// The dependencies of the editor on its process.
    struct surroundings
    {
        std::string m_operator; ///< Author in the history.
        std::function<instant()> m_now;
        /// Returns a unique id for a change.
        std::function<std::string()> m_new_id;
        /// Waits before the next attempt.
        std::function<void(span)> m_wait;
    };

    settings_editor(key_value_store& store, surroundings around);

    /// Fails with error_code::store_unavailable.
    result<settings_snapshot> read();

    /// Replaces the tree if the stored revision is still that of `seen`.
    settings_write_outcome write(const settings_snapshot& seen,
                                 const std::string& tree);

    /// Returns the last changes, newest first. Fails with
    /// error_code::store_unavailable.
    result<std::vector<settings_history_entry>> history();

private:
    struct attempt;

    settings_write_outcome carry_out(const attempt& change);
    std::optional<settings_write_outcome> settle(const attempt& change);
    settings_write_outcome accept(const attempt& change,
                                  std::optional<store_revision> revision);
    bool record(const settings_history_entry& entry);
    store_answer call(decltype(store_call::m_operation) operation);

    key_value_store& m_store;
    surroundings m_around;
    call_number m_last_call = 0;
};

} // namespace kingcuprudder

#endif
