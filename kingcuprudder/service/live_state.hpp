#ifndef KINGCUPRUDDER_SERVICE_LIVE_STATE_HPP
#define KINGCUPRUDDER_SERVICE_LIVE_STATE_HPP

#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>
#include <kingcuprudder/store/key_value_store.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace kingcuprudder
{

/// Follows the keys below live/ with the process's only watch: the settings
/// tree and the region's owner. Settings never go back to an older revision.
class live_state
{
public:
    using settings_hook =
        std::function<void(std::shared_ptr<const effective_settings>)>;
    using owner_hook =
        std::function<void(std::optional<owner_record>, store_revision)>;

    /// Hooks are called on the watch thread.
    live_state(key_value_store& store, region_id region,
               settings_hook on_settings, owner_hook on_owner);
    ~live_state();
    live_state(const live_state&) = delete;
    live_state& operator=(const live_state&) = delete;

    /// The settings in force; empty until the first ones were read.
    std::shared_ptr<const effective_settings> settings() const;

    /// The settings tree as text and its revision, for peers that lag behind.
    std::pair<std::string, std::uint64_t> settings_tree() const;

    /// Takes over a tree that a peer has sent, if it is newer.
    void offer_settings_tree(const std::string& tree, std::uint64_t revision);

    std::optional<owner_record> owner() const;

    /// Whether the last watch call succeeded.
    bool store_reachable() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
