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

/// The member of the tree that lists its latest changes. It is written
/// together with the change itself, so that a writer whose answer was lost
/// can tell by reading whether its change was accepted, even when others have
/// changed the tree again since.
constexpr std::string_view changes_key = "changes";

/// How many changes a tree lists.
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

/// The changes that a checked tree lists, oldest first.
std::vector<settings_change> listed_changes(std::string_view tree);

/// The tree with the list of `base` extended by one change, which gets the
/// next number. The oldest ones are dropped.
std::string with_change(std::string_view tree, std::string_view base,
                        settings_change change);

} // namespace kingcuprudder

#endif
