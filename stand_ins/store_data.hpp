#ifndef KINGCUPRUDDER_STAND_INS_STORE_DATA_HPP
#define KINGCUPRUDDER_STAND_INS_STORE_DATA_HPP

#include <kingcuprudder/base/time.hpp>
#include <kingcuprudder/store/key_value_store.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace kingcuprudder::stand_ins
{

/// The keys and leases of the stand-in store, in memory. Thread-safe.
class store_data
{
public:
    /// The outcome of a compare-and-swap.
    enum class write_outcome
    {
        written,
        conflict,
        lease_expired,
    };

    /// The outcome of a write and the revision of the key after it.
    struct write_result
    {
        write_outcome m_outcome = write_outcome::conflict;
        store_revision m_revision = 0;
    };

    /// Returns the value of a key, or nullopt if the key is absent.
    std::optional<store_value> get(const std::string& key);

    write_result put(const std::string& key, std::string value,
                     store_revision expected, const std::string& lease);
    write_result remove(const std::string& key, store_revision expected);

    /// Grants a lease and returns its id.
    std::string grant(span time_to_live);

    /// Extends a lease. Returns false if the lease has expired.
    bool renew(const std::string& lease);

    /// Revokes a lease and deletes its keys. Returns false if the lease has
    /// expired.
    bool revoke(const std::string& lease);

    /// Returns the changes under the prefix since a revision, and waits up to
    /// the given time for the first one. Revision 0 returns the existing keys
    /// at once.
    watch_batch watch(const std::string& prefix, store_revision after,
                      span wait);

    /// Wakes all waiting watches; later watches return at once.
    void stop_watches();

private:
    struct entry
    {
        store_value m_value;
        std::string m_lease;
        bool m_deleted = false;
    };
    struct lease_entry
    {
        span m_time_to_live;
        std::int64_t m_expires = 0; // Milliseconds of the steady clock.
    };

    void remove_expired(std::unique_lock<std::mutex>& lock);
    void delete_keys_of(const std::string& lease_id);
    std::int64_t next_expiry() const;
    watch_batch changes(const std::string& prefix, store_revision after) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, entry> m_entries;
    std::map<std::string, lease_entry> m_leases;
    store_revision m_revision = 0;
    std::uint64_t m_last_lease = 0;
    bool m_stopped = false;
};

} // namespace kingcuprudder::stand_ins

#endif
