#include "guarantee_check.hpp"

#include "command_error.hpp"
#include "instance_list.hpp"
#include <kingcuprudder/placement/guarantee_layout.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>

#include <map>
#include <optional>

namespace kingcuprudder
{

namespace
{

using shortfalls = std::map<std::pair<account_id, shape>, std::uint32_t>;

/// Returns the guarantees that do not fit on the workers. The result is empty
/// if the tree is invalid or lacks the region.
shortfalls shortfalls_of(const std::string& tree, const region_id& region,
                         const std::vector<worker>& workers)
{
    shortfalls found;
    const auto settings = resolve_settings(tree, region, 0);
    if (succeeded(settings))
    {
        for (const guarantee_shortfall& each :
             check_guarantees(value_of(settings), workers))
        {
            found[{each.m_account, each.m_shape}] = each.m_missing;
        }
    }
    return found;
}

std::map<std::string, std::string> values_by_path(const std::string& tree,
                                                  const std::string& region)
{
    std::map<std::string, std::string> values;
    for (const settings_origin& each : value_or_throw(
             explain_settings(tree, region_id(region)), exit_code::refused))
    {
        values[each.m_path] = each.m_value;
    }
    return values;
}

std::optional<std::string>
find_value(const std::map<std::string, std::string>& values,
           const std::string& path)
{
    const auto found = values.find(path);
    return found == values.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

void refuse_new_shortfalls(const command_line& line, const std::string& before,
                           const std::string& after)
{
    const region_id region(line.region());
    const std::vector<worker> workers = read_workers(line);
    const shortfalls previous = shortfalls_of(before, region, workers);
    std::string text;
    for (const auto& [key, missing] : shortfalls_of(after, region, workers))
    {
        const auto earlier = previous.find(key);
        if (earlier == previous.end() || earlier->second < missing)
        {
            text += text.empty() ? "" : "\n";
            text += describe({key.first, key.second, missing});
        }
    }
    if (!text.empty())
    {
        throw command_error(exit_code::refused, text);
    }
}

std::vector<settings_difference>
effective_differences(const std::string& before, const std::string& after,
                      const std::string& region)
{
    const auto left = values_by_path(before, region);
    const auto right = values_by_path(after, region);
    std::map<std::string, std::string> paths = left;
    paths.insert(right.begin(), right.end());
    std::vector<settings_difference> found;
    for (const auto& [path, value] : paths)
    {
        const auto old_value = find_value(left, path);
        const auto new_value = find_value(right, path);
        if (old_value != new_value)
        {
            found.push_back({path, old_value, new_value});
        }
    }
    return found;
}

} // namespace kingcuprudder
