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

/// The settings tree as it stood at one revision; revision 0 stands for a
/// store without settings.
struct settings_snapshot
{
    std::string m_tree = "{}";
    store_revision m_revision = 0;
    /// Whether the store holds something that is no settings tree. The tree
    /// is then empty, so that a sound one can be loaded in its place.
    bool m_damaged = false;

    friend auto operator<=>(const settings_snapshot&,
                            const settings_snapshot&) = default;
};

/// The change is in the store.
struct settings_accepted
{
    /// The revision that the change made; nothing when others have changed
    /// the tree again before it could be read.
    std::optional<store_revision> m_revision;
    std::vector<settings_difference> m_differences;
    /// Whether the change could be added to the history.
    bool m_recorded = true;

    friend bool operator==(const settings_accepted&,
                           const settings_accepted&) = default;
};

/// Another operator was faster. Nothing was written.
struct settings_race_lost
{
    settings_snapshot m_current;
    /// What the others altered since the snapshot that the operator saw.
    std::vector<settings_difference> m_differences;
    std::vector<settings_change> m_changes; ///< Who altered it, and when.

    friend bool operator==(const settings_race_lost&,
                           const settings_race_lost&) = default;
};

/// The store did not answer, so the change may or may not be in it.
struct settings_outcome_unknown
{
    std::string m_change_id; ///< Shown by the history if it was accepted.

    friend auto operator<=>(const settings_outcome_unknown&,
                            const settings_outcome_unknown&) = default;
};

/// How a change ended. An error means that nothing was written.
using settings_write_outcome =
    std::variant<settings_accepted, settings_race_lost,
                 settings_outcome_unknown, error>;

/// One change with what it altered.
struct settings_history_entry
{
    settings_change m_change;
    store_revision m_revision = 0; ///< 0 when it is not known.
    std::vector<settings_difference> m_differences;
    /// False when the operator's tool ended before it wrote the history.
    bool m_recorded = true;

    friend bool operator==(const settings_history_entry&,
                           const settings_history_entry&) = default;
};

/// Reads and changes the settings tree in the store on behalf of an operator.
/// A change never overwrites one that the operator has not seen.
class settings_editor
{
public:
    /// What the editor needs from the process that it runs in.
    struct surroundings
    {
        std::string m_operator; ///< Named in the history.
        std::function<instant()> m_now;
        /// An id that no other change has.
        std::function<std::string()> m_new_id;
        /// Waits before the store is asked again.
        std::function<void(span)> m_wait;
    };

    settings_editor(key_value_store& store, surroundings around);

    /// Fails with error_code::store_unavailable.
    result<settings_snapshot> read();

    /// Replaces the tree if the one in the store is still the one seen.
    settings_write_outcome write(const settings_snapshot& seen,
                                 const std::string& tree);

    /// The last changes, newest first. Fails with
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
