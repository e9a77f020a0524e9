#include <kingcuprudder/settings/nearest_name.hpp>

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace kingcuprudder
{

namespace
{

/// Levenshtein distance: the fewest insertions, deletions and replacements of
/// one character that transform one text into the other.
std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < left.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < right.size(); ++j)
        {
            const std::size_t replaced =
                diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, diagonal + 1, row[j] + 1});
        }
    }
    return row.back();
}

std::string joined(const std::vector<std::string>& names)
{
    std::string text;
    for (const std::string& name : names)
    {
        text += text.empty() ? name : ", " + name;
    }
    return text;
}

} // namespace

std::optional<std::string> nearest_name(std::string_view name,
                                        const std::vector<std::string>& known)
{
    // Beyond a third of the name, suggestions are mostly unrelated names.
    const std::size_t limit = std::max<std::size_t>(2, name.size() / 3);
    std::optional<std::string> nearest;
    std::size_t smallest = limit + 1;
    for (const std::string& candidate : known)
    {
        const std::size_t distance = edit_distance(name, candidate);
        if (distance < smallest)
        {
            smallest = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string unknown_name_message(std::string_view kind, std::string_view name,
                                 const std::vector<std::string>& known)
{
    std::string text = "unknown ";
    text += kind;
    text += " '";
    text += name;
    text += "'";
    if (const auto nearest = nearest_name(name, known))
    {
        return text + "; did you mean '" + *nearest + "'?";
    }
    return known.empty() ? text : text + "; known are: " + joined(known);
}

} // namespace kingcuprudder
