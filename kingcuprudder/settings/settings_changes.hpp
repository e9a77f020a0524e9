#ifndef KINGCUPRUDDER_SETTINGS_SETTINGS_CHANGES_HPP
#define KINGCUPRUDDER_SETTINGS_SETTINGS_CHANGES_HPP

#include <kingcuprudder/base/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuprudder
{

/// The member of the tree that lists its latest changes. It is written together
/// with the change itself, so that a writer that received no answer can check
/// whether its change was accepted, even after later changes by others.
constexpr std::string_view changes_key = "changes";

/// The maximum number of changes that a tree lists.
constexpr std::size_t max_listed_changes = 16;

/// One accepted change of the tree.
struct settings_change
{
    std::uint64_t m_number = 0; ///< Counts all changes, from 1.
    std::string m_id;           ///< Unique for each attempt to change.
    std::string m_by;           ///< The operator.
    instant m_at;

    friend auto operator<=>(const settings_change&,
                            const settings_change&) = default;
};

/// Returns the changes that a checked tree lists, oldest first.
std::vector<settings_change> listed_changes(std::string_view tree);

/// Returns the tree with the list of `base` extended by one change, which gets
/// the next number. Changes beyond max_listed_changes are dropped, oldest
/// first.
std::string with_change(std::string_view tree, std::string_view base,
                        settings_change change);

} // namespace kingcuprudder

#endif
