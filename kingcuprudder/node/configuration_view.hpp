#ifndef KINGCUPRUDDER_NODE_CONFIGURATION_VIEW_HPP
#define KINGCUPRUDDER_NODE_CONFIGURATION_VIEW_HPP

#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/external_records.hpp>
#include <kingcuprudder/node/read_latency.hpp>
#include <kingcuprudder/node/record_store.hpp>
#include <kingcuprudder/node/record_watcher.hpp>

#include <functional>
#include <memory>
#include <mutex>

namespace kingcuprudder::node
{

/// A configuration and the revision of the record that holds it.
struct configuration_snapshot
{
    dispatch::service_configuration m_configuration;
    std::int64_t m_revision = 0;
};

/// Caches the newest configuration that this process has read. An older version
/// never replaces a newer one. Safe to use from several threads.
class configuration_view
{
public:
    using snapshot = std::shared_ptr<const configuration_snapshot>;

    configuration_view(record_store& store, const external_records& records,
                       event_log& log);

    /// Returns the newest configuration, or null before the first one is read.
    snapshot current() const;
    /// Returns a configuration that was the newest one at some time after
    /// `now - max_age`. Reads the store if the last confirmation is older, and
    /// returns null if that fails.
    snapshot confirmed(span max_age, span timeout);
    /// Returns the newest configuration if the store has confirmed it at or
    /// after this time, or null.
    snapshot confirmed_since(instant earliest) const;
    /// The time that reads take, of those made to confirm the configuration and
    /// of others that are noted there.
    read_latency& latency() { return m_latency; }
    /// Returns when the store last confirmed the cached configuration.
    instant confirmed_at() const;
    /// Caches the configuration in a record that was read for another purpose,
    /// if it is newer. Ignores records with other keys.
    void adopt(const record& found, instant read_at);
    /// Returns the key of the record that holds the configuration.
    const std::string& key() const { return m_records.m_configuration_key; }
    /// Sets the callback for new versions. It runs on the thread that adopts
    /// the version.
    void on_change(std::function<void(const snapshot&)> call);

private:
    void note_confirmation(instant sent);

    record_store& m_store;
    external_records m_records;
    event_log& m_log;
    read_latency m_latency;
    mutable std::mutex m_mutex;
    snapshot m_snapshot;
    instant m_confirmed_at;
    std::function<void(const snapshot&)> m_on_change;
    record_watcher m_watcher;
};

} // namespace kingcuprudder::node

#endif
