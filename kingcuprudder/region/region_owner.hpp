#ifndef KINGCUPRUDDER_REGION_REGION_OWNER_HPP
#define KINGCUPRUDDER_REGION_REGION_OWNER_HPP

#include <kingcuprudder/placement/placement_policy.hpp>
#include <kingcuprudder/region/owner_io.hpp>
#include <kingcuprudder/region/region_statistics.hpp>
#include <kingcuprudder/settings/effective_settings.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuprudder
{

/// The value of the key live/owner/<region>, which names the current owner of
/// the region.
struct owner_record
{
    instance_id m_instance;
    std::string m_address; ///< IP address and port of its request streams.

    friend auto operator<=>(const owner_record&, const owner_record&) = default;
};

/// Identity of this process and the region that it may own.
struct owner_options
{
    region_id m_region;
    instance_id m_instance;
    std::string m_address;
    /// Seeds batch ids and jitter; differs between processes.
    std::uint64_t m_seed = 1;
};

/// Encodes and decodes the values kept in the store.
struct owner_codec
{
    std::function<std::string(const log_entry&)> m_encode_entry;
    std::function<result<log_entry>(std::string_view)> m_decode_entry;
    std::function<std::string(const owner_record&)> m_encode_owner;
    std::function<result<owner_record>(std::string_view)> m_decode_owner;
};

/// Owns a region or stands by to own it: acquires the lease, replays the log,
/// fences the former owner, and then schedules. The class is a pure state
/// machine; each event returns the effects to carry out, in order. The host
/// process must answer calls that time out with store_failed or
/// worker_unreachable.
class region_owner
{
public:
    using effects = std::vector<owner_effect>;

    region_owner(owner_options options, owner_codec codec,
                 std::unique_ptr<placement_policy> policy);
    ~region_owner();
    region_owner(const region_owner&) = delete;
    region_owner& operator=(const region_owner&) = delete;

    /// Applies settings; they are ignored if older than the current ones.
    effects on_settings(const effective_settings& settings, instant now);

    /// Sets the region's workers from the instance list.
    effects on_workers(const std::vector<worker>& workers, instant now);

    /// Reports a value of the owner key from the watch; empty if the key is
    /// absent.
    effects on_owner_key(const std::optional<owner_record>& owner,
                         store_revision revision, instant now);

    effects on_store_answer(const store_answer& answer, instant now);
    effects on_worker_answer(const worker_answer& answer, instant now);
    effects on_heartbeat(const worker_report& report, instant now);

    /// Handles a call. Every call is answered exactly once, immediately or
    /// later; with error_code::not_owner if this process does not own the
    /// region.
    effects on_caller_call(const caller_call& call, instant now);

    /// Must be called at least every 50 ms.
    effects on_tick(instant now);

    /// Starts to release ownership. The key is deleted once the records in
    /// flight are settled, so that a standby can take over immediately.
    effects begin_shutdown(instant now);

    /// Whether this process owns the region, i.e. its takeover is complete.
    bool owning() const;

    /// Whether a heartbeat that arrives now may be answered with a renewed task
    /// lease. An owner that was paused past its own lease must not renew before
    /// the store has shown that no other process has taken over: the next owner
    /// counts a full task lease from its takeover.
    bool renews_task_leases(instant now) const;

    /// The owner's epoch; 0 while it does not own the region.
    epoch_number epoch() const;

    /// Whether the shutdown is complete.
    bool shut_down() const;

    /// The state as lines of text, for operators.
    std::string dump() const;

    /// The statistics exported as metrics.
    region_statistics statistics() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace kingcuprudder

#endif
