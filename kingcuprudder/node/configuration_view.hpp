#ifndef KINGCUPRUDDER_NODE_CONFIGURATION_VIEW_HPP
#define KINGCUPRUDDER_NODE_CONFIGURATION_VIEW_HPP

#include <kingcuprudder/node/event_log.hpp>
#include <kingcuprudder/node/external_records.hpp>
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

/// The newest configuration that this process knows. It never goes back to an
/// older version. Safe to use from several threads.
class configuration_view
{
public:
    using snapshot = std::shared_ptr<const configuration_snapshot>;

    configuration_view(record_store& store, const external_records& records,
                       event_log& log);

    /// The newest known configuration, or null when none is known.
    snapshot current() const;
    /// A configuration that was the newest one at some time after
    /// `now - max_age`; asks the store if necessary. Null when that fails.
    snapshot confirmed(span max_age, span timeout);
    /// When the newest configuration was last confirmed by the store.
    instant confirmed_at() const;
    /// Takes a record of the configuration that was read along the way.
    void adopt(const record& found, instant read_at);
    /// The key of the record that holds the configuration.
    const std::string& key() const { return m_records.m_configuration_key; }
    /// Called on each new version, from the thread that found it.
    void on_change(std::function<void(const snapshot&)> call);

private:
    void confirm(instant sent);

    record_store& m_store;
    external_records m_records;
    event_log& m_log;
    mutable std::mutex m_mutex;
    snapshot m_snapshot;
    instant m_confirmed_at;
    std::function<void(const snapshot&)> m_on_change;
    record_watcher m_watcher;
};

} // namespace kingcuprudder::node

#endif
