#ifndef KINGCUPRUDDER_REGION_OWNERSHIP_HPP
#define KINGCUPRUDDER_REGION_OWNERSHIP_HPP

#include <kingcuprudder/region/region_owner.hpp>
#include <kingcuprudder/region/store_operation.hpp>

#include <optional>
#include <string>

namespace kingcuprudder
{

/// Holds, or races for, the lease key that names the region's owner. The key
/// only says who may take over; the log fences former owners.
class ownership
{
public:
    ownership(const owner_options& options, const owner_codec& codec);

    /// Allows the race for the key; called once settings are known.
    void enable() { m_enabled = true; }

    /// What the watch shows of the key.
    void on_key(const std::optional<owner_record>& owner,
                store_revision revision, instant now);

    /// The store call to make now, if any.
    std::optional<tagged_operation> poll(instant now);
    void on_outcome(const store_outcome& outcome, instant now);

    /// Whether the key names this process, as far as it knows.
    bool held() const { return m_held; }

    /// Whether the lease is certainly in force, by this process's clock.
    bool certain(instant now) const { return m_held && now < m_valid_until; }

    /// Whether the last store call of this part got no answer.
    bool store_silent() const { return m_store_silent; }

    /// Lets the key go so that another process can take over at once.
    void release();

    /// Gives up without touching the key, after another owner was seen.
    void abandon();

    /// Whether a release is still under way.
    bool releasing() const { return m_release_wanted; }

    /// The last known owner, for callers that ask the wrong process.
    const std::optional<owner_record>& known_owner() const { return m_owner; }

private:
    enum class step
    {
        standby,   ///< Another process holds the key, or it is not known.
        granting,  ///< A lease has been asked for.
        claiming,  ///< The compare-and-swap on the key is in flight.
        verifying, ///< The key is read after a lost answer.
        holding,
        deleting,
    };

    std::optional<tagged_operation> poll_standby(instant now);
    std::optional<tagged_operation> poll_holding(instant now);
    std::optional<tagged_operation> call(step next, store_operation operation,
                                         instant now);
    void on_read(const store_value& value, instant now);
    void on_claimed(store_revision revision);
    void on_renewed(const store_outcome& outcome);
    void on_no_answer(instant now);
    void lose(instant now);
    void schedule_race(instant now);
    bool is_own(const std::optional<owner_record>& owner) const;

    std::string m_key;
    owner_record m_self;
    const owner_codec& m_codec;
    std::mt19937_64 m_random;
    retry_backoff m_backoff;

    bool m_enabled = false;
    step m_step = step::standby;
    bool m_in_flight = false;
    bool m_held = false;
    bool m_key_absent = false;
    bool m_store_silent = false;
    bool m_release_wanted = false;
    std::optional<owner_record> m_owner;
    store_revision m_revision = 0;
    std::string m_lease;
    instant m_sent_at;
    instant m_valid_until;
    instant m_next_call;
    instant m_not_before;
};

/// How long the owner's key outlives its last renewal.
inline constexpr span owner_lease_time = span::seconds(4);

/// Three renewals fit into one lease, so that one lost call does no harm.
inline constexpr span owner_renewal_interval(1300);

} // namespace kingcuprudder

#endif
