#include <kingcuprudder/codec/codec.hpp>
#include <kingcuprudder/region/region_keys.hpp>
#include <kingcuprudder/request/backoff.hpp>
#include <kingcuprudder/runtime/logging.hpp>
#include <kingcuprudder/runtime/steady_time.hpp>
#include <kingcuprudder/service/live_state.hpp>
#include <kingcuprudder/settings/resolve_settings.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace kingcuprudder
{

namespace
{

constexpr const char* live_prefix = "live/";
constexpr const char* settings_key = "live/settings";
// A watch on an unresponsive connection times out one store timeout after this
// time. Both together must stay below the 3 s within which settings take
// effect.
constexpr span watch_wait(1500);
constexpr span initial_backoff(100);
constexpr std::int64_t outage_log_delay_ms = 1000;
constexpr span max_backoff = span::seconds(5);

} // namespace

class live_state::implementation
{
public:
    implementation(key_value_store& store, region_id region,
                   settings_hook on_settings, owner_hook on_owner)
        : m_store(store), m_region(std::move(region)),
          m_owner_key(owner_key(m_region)),
          m_on_settings(std::move(on_settings)),
          m_on_owner(std::move(on_owner)),
          m_backoff(initial_backoff, max_backoff, std::random_device()()),
          m_thread([this] { run(); })
    {
    }

    ~implementation()
    {
        {
            std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_stopped.notify_all();
        m_thread.join();
    }

    std::shared_ptr<const effective_settings> settings() const
    {
        std::lock_guard lock(m_mutex);
        return m_settings;
    }

    std::pair<std::string, std::uint64_t> settings_tree() const
    {
        std::lock_guard lock(m_mutex);
        return {m_tree, m_tree_revision};
    }

    void apply_settings(const std::string& tree, std::uint64_t revision)
    {
        // Also held during the hook, so that hooks receive revisions in order.
        std::lock_guard order(m_apply_mutex);
        if (revision <= settings_tree().second)
        {
            return;
        }
        const auto resolved = resolve_settings(tree, m_region, revision);
        if (!succeeded(resolved))
        {
            m_log.error("settings revision " + std::to_string(revision) +
                        " is rejected: " + error_of(resolved).m_message);
            return;
        }
        auto settings =
            std::make_shared<const effective_settings>(value_of(resolved));
        {
            std::lock_guard lock(m_mutex);
            m_tree = tree;
            m_tree_revision = revision;
            m_settings = settings;
        }
        m_on_settings(std::move(settings));
    }

    std::optional<owner_record> owner() const
    {
        std::lock_guard lock(m_mutex);
        return m_owner;
    }

    bool store_reachable() const { return m_reachable; }

private:
    void run()
    {
        store_revision after = 0;
        while (!stopping())
        {
            const auto batch = m_store.watch(live_prefix, after, watch_wait);
            update_reachable(succeeded(batch));
            if (!m_reachable)
            {
                pause(m_backoff.next());
                continue;
            }
            m_backoff.reset();
            apply(value_of(batch), after == 0);
            after = value_of(batch).m_revision;
            // The watch of an empty store returns immediately.
            if (after == 0)
            {
                pause(initial_backoff);
            }
        }
    }

    // Logs an outage only when it lasts; a single failed call is not logged.
    void update_reachable(bool reachable)
    {
        const std::int64_t now = steady_milliseconds();
        if (reachable && m_outage_logged)
        {
            m_log.info("the store is reachable again");
            m_outage_logged = false;
        }
        if (m_reachable && !reachable)
        {
            m_failing_since = now;
        }
        if (!reachable && !m_outage_logged &&
            now - m_failing_since > outage_log_delay_ms)
        {
            m_log.warning("the store is unreachable");
            m_outage_logged = true;
        }
        m_reachable = reachable;
    }

    void apply(const watch_batch& batch, bool first)
    {
        bool owner_seen = false;
        for (const watch_event& each : batch.m_events)
        {
            if (each.m_key == settings_key && !each.m_deleted)
            {
                apply_settings(each.m_value, each.m_revision);
            }
            if (each.m_key == m_owner_key)
            {
                owner_seen = true;
                apply_owner(each);
            }
        }
        if (first && !owner_seen)
        {
            set_owner(std::nullopt, 0);
        }
    }

    void apply_owner(const watch_event& event)
    {
        if (event.m_deleted)
        {
            set_owner(std::nullopt, event.m_revision);
            return;
        }
        const auto owner = from_cbor<owner_record>(event.m_value);
        if (succeeded(owner))
        {
            set_owner(value_of(owner), event.m_revision);
        }
    }

    void set_owner(const std::optional<owner_record>& owner,
                   store_revision revision)
    {
        {
            std::lock_guard lock(m_mutex);
            m_owner = owner;
        }
        m_on_owner(owner, revision);
    }

    bool stopping() const
    {
        std::lock_guard lock(m_mutex);
        return m_stopping;
    }

    void pause(span length)
    {
        std::unique_lock lock(m_mutex);
        m_stopped.wait_for(lock, std::chrono::milliseconds(length.count()),
                           [this] { return m_stopping; });
    }

    logger m_log{"live state"};
    key_value_store& m_store;
    region_id m_region;
    std::string m_owner_key;
    settings_hook m_on_settings;
    owner_hook m_on_owner;
    backoff m_backoff;
    std::mutex m_apply_mutex;
    mutable std::mutex m_mutex;
    std::condition_variable m_stopped;
    std::shared_ptr<const effective_settings> m_settings;
    std::string m_tree;
    std::uint64_t m_tree_revision = 0;
    std::optional<owner_record> m_owner;
    bool m_stopping = false;
    std::atomic<bool> m_reachable = false;
    std::int64_t m_failing_since = steady_milliseconds();
    bool m_outage_logged = false;
    std::thread m_thread;
};

live_state::live_state(key_value_store& store, region_id region,
                       settings_hook on_settings, owner_hook on_owner)
    : m_implementation(std::make_unique<implementation>(
          store, std::move(region), std::move(on_settings),
          std::move(on_owner)))
{
}

live_state::~live_state() = default;

std::shared_ptr<const effective_settings> live_state::settings() const
{
    return m_implementation->settings();
}

std::pair<std::string, std::uint64_t> live_state::settings_tree() const
{
    return m_implementation->settings_tree();
}

void live_state::offer_settings_tree(const std::string& tree,
                                     std::uint64_t revision)
{
    m_implementation->apply_settings(tree, revision);
}

std::optional<owner_record> live_state::owner() const
{
    return m_implementation->owner();
}

bool live_state::store_reachable() const
{
    return m_implementation->store_reachable();
}

} // namespace kingcuprudder
