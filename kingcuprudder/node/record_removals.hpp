#ifndef KINGCUPRUDDER_NODE_RECORD_REMOVALS_HPP
#define KINGCUPRUDDER_NODE_RECORD_REMOVALS_HPP

#include <kingcuprudder/node/record_store.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kingcuprudder::node
{

/// A record to remove, and the revision that it must still have.
struct record_removal
{
    std::string m_key;
    std::int64_t m_revision = 0;

    friend bool operator==(const record_removal&,
                           const record_removal&) = default;
};

/// Keeps the records that are removed at a later time, and returns them in
/// groups of one transaction until the store no longer has them. One group is
/// in flight at a time.
class record_removals
{
public:
    /// Returns whether a record is still needed, so that it is removed later.
    using needed_hook = std::function<bool(const std::string& key)>;

    explicit record_removals(needed_hook is_needed);

    /// Schedules a removal. A key that is scheduled already keeps its time
    /// unless the record is newer.
    void schedule(const record_removal& removal, instant due);
    /// Drops a removal of this revision or an earlier one, if it is scheduled.
    void drop(const record_removal& removal);
    bool is_scheduled(const std::string& key) const
    {
        return m_records.contains(key);
    }

    /// Returns the group that is to be removed now. It is empty if it is not
    /// time, or the last group is in flight.
    std::vector<record_removal> take(instant now);
    /// Notes that the group in flight was not removed, or may not have been. It
    /// is returned again after a pause.
    void failed(instant now);
    /// Notes that the store no longer has the records of the group in flight.
    void removed();
    /// Notes that nothing was removed, as some records of the group in flight
    /// no longer have their revision, and drops those. Returns false, and
    /// changes nothing, if all of them still have it.
    bool conflicted(const store_conflict& conflict);
    /// Notes that the store refused the group in flight for its content.
    /// Smaller groups are returned until the refused record stands alone, which
    /// then waits while all others go on.
    void refused(instant now);

private:
    struct entry
    {
        std::int64_t m_revision = 0;
        instant m_due;
    };
    using scheduled_records = std::map<std::string, entry>;

    void erase(scheduled_records::iterator found);
    void postpone(const std::string& key, instant until);
    /// Postpones the removals that are due of records that are still needed.
    void postpone_needed(instant now);

    needed_hook m_is_needed;
    scheduled_records m_records;
    std::set<std::pair<instant, std::string>> m_by_due;
    std::vector<record_removal> m_in_flight;
    /// The most records in a group.
    std::size_t m_max_group;
    /// No group is returned before.
    instant m_next_at;
    /// No group that is not full is returned before.
    instant m_next_partial_at;
};

} // namespace kingcuprudder::node

#endif
