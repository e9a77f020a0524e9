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

/// Follows the keys under live/, which are the settings tree and the owner of
/// the region, with the only watch of the process. Settings never revert to an
/// older revision.
class live_state
{
public:
    using settings_hook =
        std::function<void(std::shared_ptr<const effective_settings>)>;
    using owner_hook =
        std::function<void(std::optional<owner_record>, store_revision)>;

    /// The hooks are called on the watch thread; `on_settings` also on a thread
    /// that calls offer_settings_tree().
    live_state(key_value_store& store, region_id region,
               settings_hook on_settings, owner_hook on_owner);
    ~live_state();
    live_state(const live_state&) = delete;
    live_state& operator=(const live_state&) = delete;

    /// Returns the current settings; null before they are first loaded.
    std::shared_ptr<const effective_settings> settings() const;

    /// Returns the settings tree as text and its revision, for peers with older
    /// settings.
    std::pair<std::string, std::uint64_t> settings_tree() const;

    /// Applies a tree received from a peer if it is newer.
    void offer_settings_tree(const std::string& tree, std::uint64_t revision);

    std::optional<owner_record> owner() const;

    /// Returns whether the last watch call succeeded.
    bool store_reachable() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
