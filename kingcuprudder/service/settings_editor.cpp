#include <kingcuprudder/service/settings_editor.hpp>
#include <kingcuprudder/service/settings_history_codec.hpp>
#include <kingcuprudder/settings/check_settings.hpp>

#include <algorithm>
#include <map>
#include <utility>

namespace kingcuprudder
{

namespace
{

constexpr const char* settings_key = "live/settings";
constexpr const char* history_prefix = "settings/history/";

/// Maximum number of history entries in the store.
constexpr std::uint64_t history_slots = 64;

/// Maximum time after which the outcome is reported as unknown. Calls that time
/// out may extend it by a few seconds.
constexpr span max_settlement_time = span::seconds(15);
constexpr int max_store_attempts = 7;
constexpr span initial_retry_wait = span(100);

/// Maximum number of attempts to write a history entry. Conflicts are rare,
/// because another operator writes the same slot only after 64 further changes.
constexpr int max_record_attempts = 3;

error store_unavailable()
{
    return {error_code::store_unavailable, "the store did not answer",
            verdict::not_run};
}

std::string history_key(std::uint64_t number)
{
    return history_prefix + std::to_string(number % history_slots);
}

} // namespace

/// A change that is being written to the store.
struct settings_editor::attempt
{
    settings_snapshot m_seen;
    std::string m_text; ///< The new tree with its list of changes.
    settings_change m_change;
    std::vector<settings_difference> m_differences;
};

settings_editor::settings_editor(key_value_store& store, surroundings around)
    : m_store(store), m_around(std::move(around))
{
}

store_answer settings_editor::call(decltype(store_call::m_operation) operation)
{
    return m_store.call({++m_last_call, std::move(operation)});
}

result<settings_snapshot> settings_editor::read()
{
    const store_answer answer = call(store_get{settings_key});
    const auto* value = std::get_if<store_value>(&answer.m_outcome);
    if (value == nullptr)
    {
        return store_unavailable();
    }
    if (value->m_revision == 0)
    {
        return settings_snapshot();
    }
    if (!is_editable_settings_document(value->m_value))
    {
        return settings_snapshot{"{}", value->m_revision, true};
    }
    return settings_snapshot{value->m_value, value->m_revision, false};
}

settings_write_outcome settings_editor::write(const settings_snapshot& seen,
                                              const std::string& tree)
{
    const std::vector<settings_problem> problems = check_settings(tree);
    if (!problems.empty())
    {
        return error{error_code::invalid_settings, to_text(problems),
                     verdict::not_run};
    }
    attempt change;
    change.m_seen = seen;
    change.m_differences = settings_differences(seen.m_tree, tree);
    if (change.m_differences.empty())
    {
        return settings_accepted{seen.m_revision, {}, true};
    }
    change.m_text = with_change(
        tree, seen.m_tree,
        {0, m_around.m_new_id(), m_around.m_operator, m_around.m_now()});
    change.m_change = listed_changes(change.m_text).back();
    return carry_out(change);
}

settings_write_outcome settings_editor::carry_out(const attempt& change)
{
    span wait = initial_retry_wait;
    const instant give_up = m_around.m_now() + max_settlement_time;
    for (int i = 0; i < max_store_attempts && m_around.m_now() < give_up; ++i)
    {
        // Retrying the same compare-and-swap is safe: at most one of the writes
        // can take effect, and all of them write the same text.
        const store_answer answer = call(store_put{
            settings_key, change.m_text, change.m_seen.m_revision, ""});
        if (const auto* written = std::get_if<store_written>(&answer.m_outcome))
        {
            return accept(change, written->m_revision);
        }
        if (auto outcome = settle(change))
        {
            return std::move(*outcome);
        }
        m_around.m_wait(wait);
        wait = wait * 2;
    }
    return settings_outcome_unknown{change.m_change.m_id};
}

/// Reads the tree back to determine the outcome of a write that was not
/// answered or ended in a conflict. Returns nullopt if the outcome cannot be
/// determined yet.
std::optional<settings_write_outcome>
settings_editor::settle(const attempt& change)
{
    const result<settings_snapshot> read_back = read();
    if (!succeeded(read_back))
    {
        return std::nullopt;
    }
    const settings_snapshot& current = value_of(read_back);
    if (current.m_revision == change.m_seen.m_revision)
    {
        return std::nullopt;
    }
    const std::vector<settings_change> changes = listed_changes(current.m_tree);
    const auto own = std::find(changes.begin(), changes.end(), change.m_change);
    if (own != changes.end())
    {
        const bool is_last = own + 1 == changes.end();
        return accept(change, is_last ? std::optional(current.m_revision)
                                      : std::nullopt);
    }
    if (!changes.empty() && changes.front().m_number > change.m_change.m_number)
    {
        // So many changes have followed that the list no longer shows whether
        // this change was applied.
        return settings_outcome_unknown{change.m_change.m_id};
    }
    settings_race_lost lost;
    lost.m_current = current;
    lost.m_differences =
        settings_differences(change.m_seen.m_tree, current.m_tree);
    for (const settings_change& each : changes)
    {
        if (each.m_number >= change.m_change.m_number)
        {
            lost.m_changes.push_back(each);
        }
    }
    return lost;
}

settings_write_outcome
settings_editor::accept(const attempt& change,
                        std::optional<store_revision> revision)
{
    settings_accepted accepted;
    accepted.m_revision = revision;
    accepted.m_differences = change.m_differences;
    accepted.m_recorded = record(
        {change.m_change, revision.value_or(0), change.m_differences, true});
    return accepted;
}

bool settings_editor::record(const settings_history_entry& entry)
{
    const std::string key = history_key(entry.m_change.m_number);
    for (int i = 0; i < max_record_attempts; ++i)
    {
        const store_answer present = call(store_get{key});
        const auto* slot = std::get_if<store_value>(&present.m_outcome);
        if (slot == nullptr)
        {
            continue;
        }
        const auto held = decode_history_entry(slot->m_value);
        if (held && held->m_change.m_number >= entry.m_change.m_number)
        {
            return held->m_change == entry.m_change;
        }
        const store_answer written = call(
            store_put{key, encode_history_entry(entry), slot->m_revision, ""});
        if (std::holds_alternative<store_written>(written.m_outcome))
        {
            return true;
        }
    }
    return false;
}

result<std::vector<settings_history_entry>> settings_editor::history()
{
    const result<settings_snapshot> current = read();
    const result<watch_batch> slots = m_store.watch(history_prefix, 0, span(0));
    if (!succeeded(current) || !succeeded(slots))
    {
        return store_unavailable();
    }
    std::map<std::uint64_t, settings_history_entry> by_number;
    for (const settings_change& each : listed_changes(value_of(current).m_tree))
    {
        by_number[each.m_number] = {each, 0, {}, false};
    }
    for (const watch_event& each : value_of(slots).m_events)
    {
        if (const auto entry = decode_history_entry(each.m_value))
        {
            by_number[entry->m_change.m_number] = *entry;
        }
    }
    std::vector<settings_history_entry> newest_first;
    for (auto each = by_number.rbegin(); each != by_number.rend(); ++each)
    {
        newest_first.push_back(each->second);
    }
    return newest_first;
}

} // namespace kingcuprudder
